//! Which job runs next.

use std::time::Duration;

use super::{AdmissionGate, GateDecision, JobKey, JobLane};

/// At 12 slots prompt work keeps eleven of them while bulk work is overdue; a
/// second more is little to whoever waits for a catalogue.
const BULK_PATIENCE: Duration = Duration::from_secs(1);

impl AdmissionGate {
    pub(super) fn dispatch(&mut self) {
        while let Some(lane) = self.next_lane() {
            let slots = match lane {
                JobLane::Prompt => self.limit.get(),
                JobLane::Bulk => self.bulk_slots(),
            };
            let Some(key) = self.lane_mut(lane).pop(slots) else {
                return;
            };
            self.start(key);
        }
    }

    /// Runs a job that left its line, or refuses it if it would end too late.
    pub(super) fn start(&mut self, key: JobKey) {
        let job = *self.arena.job(key);
        if let Err(refusal) = self.check_service(&job) {
            let lane = self.lane_mut(job.lane());
            lane.refund(job.caller, job.key, job.charged);
            self.arena.remove(key);
            self.refuse_offer(job.id, refusal.code, refusal.retry_after);
            return;
        }
        self.arena.job_mut(key).started = Some(self.now);
        self.running[job.class as usize] += 1;
        if job.offered < self.now {
            self.meters[job.lane() as usize].count();
        }
        self.lane_mut(job.lane()).begin_run(job.caller, job.key);
        self.ready.push(GateDecision::Run(job.id));
    }

    /// Returns the lane whose first job may start now.
    pub(super) fn next_lane(&self) -> Option<JobLane> {
        if self.bulk_is_due() && self.may_start(JobLane::Bulk) {
            return Some(JobLane::Bulk);
        }
        [JobLane::Prompt, JobLane::Bulk]
            .into_iter()
            .find(|lane| !self.lane(*lane).is_empty() && self.may_start(*lane))
    }

    /// Reports whether the lane has a slot free.
    ///
    /// Bulk jobs outlast a cut of the limit by minutes. Their slots then count
    /// as the bulk share and no more: without that, prompt work would be let
    /// through to no slot at all until they end.
    pub(super) fn may_start(&self, lane: JobLane) -> bool {
        let running: u32 = self.running.iter().sum();
        let limit = self.limit.get();
        let running_here = self.lane(lane).running;
        match lane {
            JobLane::Prompt => {
                let kept_free = running_here < limit - self.bulk_slots();
                running < limit || (kept_free && running < u32::from(self.settings.slots()))
            }
            JobLane::Bulk => running < limit && running_here < self.bulk_slots(),
        }
    }

    pub(super) fn bulk_is_due(&self) -> bool {
        let bulk = self.lane(JobLane::Bulk);
        let is_due = |key| self.now >= self.arena.job(key).offered + BULK_PATIENCE;
        bulk.running == 0 && bulk.first().is_some_and(is_due)
    }
}
