//! Refusals, and the review that finds what became hopeless.

use std::time::Duration;

use geranium_model::ResultCode;

use super::{AdmissionGate, GateDecision, HeldJob, JobId, JobKey, JobLane, JobRefusal, PlaceClaim};

/// What became hopeless is found within 4 ms, so that its refusal is final
/// within 10 ms, a slow poll included.
const REVIEW_EVERY: Duration = Duration::from_millis(4);

impl AdmissionGate {
    /// Refuses what became hopeless.
    pub(super) fn review(&mut self) {
        self.next_review = self.now + REVIEW_EVERY;
        let mut doomed = std::mem::take(&mut self.doomed);
        for lane in [JobLane::Prompt, JobLane::Bulk] {
            let mut ahead = 0;
            for key in self.lane(lane).iter() {
                match self.check_wait(self.arena.job(key), ahead) {
                    Ok(()) => ahead += 1,
                    Err(refusal) => doomed.push((key, refusal)),
                }
            }
        }
        for (key, refusal) in doomed.drain(..) {
            self.refuse_held(key, refusal.code, refusal.retry_after);
        }
        self.doomed = doomed;
    }

    /// Refuses the last job of whoever holds most of a lane, or its last.
    pub(super) fn refuse_last(&mut self, lane: JobLane, code: ResultCode) {
        let waits = self.lane(lane);
        if let Some(victim) = waits.excess_job(PlaceClaim::default()) {
            self.refuse_over_share(victim);
        } else if let Some(last) = waits.last() {
            let retry_after = self.retry_after(lane, waits.len());
            self.refuse_held(last, code, retry_after);
        }
    }

    pub(super) fn refuse_over_share(&mut self, victim: JobKey) {
        let lane = self.arena.job(victim).lane();
        let retry_after = self.retry_after(lane, self.lane(lane).len());
        self.refuse_held(victim, ResultCode::CallerOverShare, retry_after);
    }

    pub(super) fn refuse_held(&mut self, key: JobKey, code: ResultCode, retry_after: Duration) {
        let job = self.withdraw(key);
        self.refuse_offer(job.id, code, retry_after);
    }

    pub(super) fn refuse_offer(&mut self, id: JobId, code: ResultCode, retry_after: Duration) {
        let refusal = JobRefusal { code, retry_after };
        self.ready.push(GateDecision::Refuse(id, refusal));
    }

    pub(super) fn withdraw(&mut self, key: JobKey) -> HeldJob {
        let job = self.arena.remove(key);
        self.lane_mut(job.lane())
            .withdraw(job.tag, job.seq, job.charged);
        job
    }
}
