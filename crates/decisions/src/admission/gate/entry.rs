//! Whether an offered job gets in.

use geranium_model::ResultCode;

use super::{AdmissionGate, HeldJob, JobLane, JobRefusal, PlaceClaim, RETRY_MAX, RETRY_MIN};

impl AdmissionGate {
    /// Checks that a job can end in time and that there is room for it.
    pub(super) fn check_offer(&mut self, job: &HeldJob) -> Result<(), JobRefusal> {
        let lane = job.lane();
        if self.may_start(lane) && self.lane(lane).is_empty() {
            return self.check_service(job);
        }
        self.check_wait(job, self.lane(lane).ahead_of(job.tag))?;
        self.make_room(job)
    }

    /// Refuses a job that would end too late if it started now.
    ///
    /// One job of a class always runs: without it, a class that was slow once
    /// would be refused for good, as nothing would show that it is fast again.
    pub(super) fn check_service(&self, job: &HeldJob) -> Result<(), JobRefusal> {
        let allowance = self.estimates[job.class as usize].allowance();
        let is_probe = self.running[job.class as usize] == 0;
        if is_probe || self.now + allowance <= job.deadline {
            return Ok(());
        }
        Err(JobRefusal {
            code: ResultCode::DeadlineUnreachable,
            retry_after: RETRY_MIN,
        })
    }

    /// Refuses a job that would end too late behind `ahead` others.
    pub(super) fn check_wait(&self, job: &HeldJob, ahead: usize) -> Result<(), JobRefusal> {
        let wait = self.wait_behind(job.lane(), ahead);
        let allowance = self.estimates[job.class as usize].allowance();
        let ends = self.now.saturating_add(wait).saturating_add(allowance);
        if ends <= job.deadline {
            return Ok(());
        }
        Err(JobRefusal {
            code: ResultCode::DeadlineUnreachable,
            retry_after: ends
                .saturating_sub(job.deadline)
                .clamp(RETRY_MIN, RETRY_MAX),
        })
    }

    /// Finds a queue place for the job, if need be that of another.
    pub(super) fn make_room(&mut self, job: &HeldJob) -> Result<(), JobRefusal> {
        let lane = job.lane();
        let bulk_waiting = self.lane(JobLane::Bulk).len();
        if lane == JobLane::Bulk && bulk_waiting >= self.settings.bulk_places() {
            return self.displace_within(job, ResultCode::BulkShareFull);
        }
        if self.waiting() < usize::from(self.settings.queue()) {
            return Ok(());
        }
        let reserve = self.settings.bulk_reserve();
        if lane == JobLane::Prompt && bulk_waiting > reserve {
            self.refuse_last(JobLane::Bulk, ResultCode::BulkShareFull);
            return Ok(());
        }
        if lane == JobLane::Bulk && bulk_waiting < reserve {
            self.refuse_last(JobLane::Prompt, ResultCode::QueueFull);
            return Ok(());
        }
        self.displace_within(job, ResultCode::QueueFull)
    }

    /// Takes the place of whoever holds most of the lane, if it is theirs to
    /// give.
    pub(super) fn displace_within(
        &mut self,
        job: &HeldJob,
        full: ResultCode,
    ) -> Result<(), JobRefusal> {
        let lane = self.lane(job.lane());
        let claim = PlaceClaim {
            caller: Some(job.caller),
            key: job.key,
        };
        if let Some(victim) = lane.excess_job(claim) {
            self.refuse_over_share(victim);
            return Ok(());
        }
        let code = if lane.is_over_share(claim) {
            ResultCode::CallerOverShare
        } else {
            full
        };
        let retry_after = self.retry_after(job.lane(), lane.len());
        Err(JobRefusal { code, retry_after })
    }
}
