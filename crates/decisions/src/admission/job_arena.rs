//! Storage of the jobs that a gate holds.

use std::{collections::HashMap, time::Duration};

use geranium_model::RequestClass;

use super::{JobId, job_lane::JobLane, name_hasher::NameState, share_ledger::PartyKey};

/// Place of a job in its arena.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct JobKey(u32);

/// A job that waits or runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldJob {
    pub id: JobId,
    pub class: RequestClass,
    pub caller: PartyKey,
    pub key: Option<PartyKey>,
    pub deadline: Duration,
    pub offered: Duration,
    /// Set once the job runs.
    pub started: Option<Duration>,
    /// Fair queueing tag, with `seq` its place in the lane.
    pub tag: u64,
    pub seq: u64,
    /// Service time it was charged for, in microseconds.
    pub charged: u64,
}

impl HeldJob {
    pub fn lane(&self) -> JobLane {
        self.class.into()
    }
}

/// Arena of jobs with a lookup by identifier.
#[derive(Debug, Default)]
pub(super) struct JobArena {
    jobs: Vec<HeldJob>,
    free: Vec<JobKey>,
    by_id: HashMap<JobId, JobKey, NameState>,
}

impl JobArena {
    /// Stores `job`.
    ///
    /// # Panics
    ///
    /// Panics when the arena holds a job of this identifier: a decision could
    /// then no longer be told to belong to one of them.
    pub fn insert(&mut self, job: HeldJob) -> JobKey {
        let key = if let Some(key) = self.free.pop() {
            self.jobs[key.0 as usize] = job;
            key
        } else {
            self.jobs.push(job);
            JobKey(self.jobs.len() as u32 - 1)
        };
        let previous = self.by_id.insert(job.id, key);
        assert!(previous.is_none(), "job {} is held already", job.id.0);
        key
    }

    pub fn find(&self, id: JobId) -> Option<JobKey> {
        self.by_id.get(&id).copied()
    }

    pub fn job(&self, key: JobKey) -> &HeldJob {
        &self.jobs[key.0 as usize]
    }

    pub fn job_mut(&mut self, key: JobKey) -> &mut HeldJob {
        &mut self.jobs[key.0 as usize]
    }

    pub fn remove(&mut self, key: JobKey) -> HeldJob {
        let job = self.jobs[key.0 as usize];
        self.by_id.remove(&job.id);
        self.free.push(key);
        job
    }
}
