//! Fair order of the jobs that wait in one lane.
//!
//! Load pattern: many callers share a few slots, one of them asks for far more
//! than the others, or all ask for one key.
//!
//! Without it: the queue serves in order of arrival, so whoever sends most is
//! served most, and a caller with one request waits behind a thousand.
//!
//! The rule is start-time fair queueing: a job's tag is the virtual time at
//! which it would start if its caller (and its key) had a server of their own,
//! and the lowest tag runs first. A party alone gets everything; parties in
//! competition get equal service time. When nobody waits all accounts are even
//! again: what a party took then was lent to it, and it doesn't pay later.
//! On top of that a job whose caller or key already holds its share of the
//! slots stands back while another below its share waits: long jobs are charged
//! in full only when they end, and until then only the slots show what they
//! take.
//!
//! Grounds: `STAND_BACK_SCAN`, how many jobs are looked through for one below
//! its share, is the default queue, so there the search is complete; in a
//! longer queue it bounds a decision's cost, and jobs of those below their
//! share have low tags and stand near the front anyway.

use std::cmp::Reverse;

use super::{
    job_arena::JobKey,
    share_ledger::{PartyKey, ShareLedger},
};

const STAND_BACK_SCAN: usize = 64;

/// A waiting job's place in line.
#[derive(Debug, Clone, Copy)]
pub(super) struct LinePlace {
    pub tag: u64,
    pub seq: u64,
    pub job: JobKey,
    pub caller: PartyKey,
    pub key: Option<PartyKey>,
}

/// Who asks for a queue place; nobody, where the queue only shrinks.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PlaceClaim {
    pub caller: Option<PartyKey>,
    pub key: Option<PartyKey>,
}

/// Jobs that wait in fair order, and what their callers and keys hold.
#[derive(Debug, Default)]
pub(super) struct FairLane {
    /// Sorted by falling tag: the next to run is last.
    line: Vec<LinePlace>,
    pub callers: ShareLedger,
    pub keys: ShareLedger,
    virtual_time: u64,
    /// Latest virtual time to which anyone was charged.
    charged_to: u64,
    /// Jobs without a key that wait or run.
    keyless: u32,
    /// Jobs of this lane that run.
    pub running: u32,
}

impl FairLane {
    pub fn len(&self) -> usize {
        self.line.len()
    }

    pub fn is_empty(&self) -> bool {
        self.line.is_empty()
    }

    /// Finds the ledger entries of a caller and its key.
    pub fn enroll(&mut self, caller: u64, key: Option<u64>) -> (PartyKey, Option<PartyKey>) {
        let caller = self.callers.enroll(caller, self.virtual_time);
        let key = key.map(|name| self.keys.enroll(name, self.virtual_time));
        (caller, key)
    }

    /// Returns the tag that a job offered now would get.
    pub fn tag_for(&self, caller: PartyKey, key: Option<PartyKey>) -> u64 {
        let by_caller = self.callers.start_tag(caller, self.virtual_time);
        let by_key = key.map_or(0, |key| self.keys.start_tag(key, self.virtual_time));
        by_caller.max(by_key)
    }

    /// Returns how many jobs would run before one with this tag.
    pub fn ahead_of(&self, tag: u64) -> usize {
        let behind = self.line.partition_point(|place| place.tag > tag);
        self.line.len() - behind
    }

    /// Puts a job in line and charges its caller and key for `cost`.
    pub fn push(&mut self, place: LinePlace, cost: u64) {
        let charged_to = self.callers.charge(place.caller, cost, self.virtual_time);
        self.charged_to = self.charged_to.max(charged_to);
        self.callers.begin_wait(place.caller);
        if let Some(key) = place.key {
            let charged_to = self.keys.charge(key, cost, self.virtual_time);
            self.charged_to = self.charged_to.max(charged_to);
            self.keys.begin_wait(key);
        } else {
            self.keyless += 1;
        }
        let at = self.position(place.tag, place.seq);
        self.line.insert(at, place);
    }

    /// Takes a job out of line that won't run.
    pub fn withdraw(&mut self, tag: u64, seq: u64, cost: u64) {
        let at = self.position(tag, seq);
        let place = self.take(at);
        self.refund(place.caller, place.key, cost);
    }

    /// Takes back what a job was charged that won't run.
    pub fn refund(&mut self, caller: PartyKey, key: Option<PartyKey>, cost: u64) {
        self.callers.refund(caller, cost);
        if let Some(key) = key {
            self.keys.refund(key, cost);
        }
    }

    /// Takes the next job to run out of line, with `slots` to share.
    pub fn pop(&mut self, slots: u32) -> Option<JobKey> {
        let at = self.next_index(slots as usize)?;
        let place = self.take(at);
        self.virtual_time = self.virtual_time.max(place.tag);
        Some(place.job)
    }

    /// Returns the job that stands first in fair order.
    pub fn first(&self) -> Option<JobKey> {
        self.line.last().map(|place| place.job)
    }

    /// Lists the jobs in fair order.
    pub fn iter(&self) -> impl Iterator<Item = JobKey> {
        self.line.iter().rev().map(|place| place.job)
    }

    pub fn begin_run(&mut self, caller: PartyKey, key: Option<PartyKey>) {
        self.running += 1;
        self.callers.begin_run(caller);
        if let Some(key) = key {
            self.keys.begin_run(key);
        } else {
            self.keyless += 1;
        }
    }

    /// Ends a run that was charged `charged` and took `spent` microseconds.
    pub fn end_run(&mut self, caller: PartyKey, key: Option<PartyKey>, charged: u64, spent: u64) {
        self.running -= 1;
        let charged_to = self.callers.settle(caller, charged, spent);
        self.charged_to = self.charged_to.max(charged_to);
        self.callers.end_run(caller);
        if let Some(key) = key {
            let charged_to = self.keys.settle(key, charged, spent);
            self.charged_to = self.charged_to.max(charged_to);
            self.keys.end_run(key);
        } else {
            self.keyless -= 1;
        }
    }

    /// Returns the job whose place `claim` has a better right to: the last in
    /// line of the caller or key that is furthest over its share.
    ///
    /// It holds more than its share, and the newcomer wouldn't be as far over
    /// its own by caller or key.
    pub fn excess_job(&self, claim: PlaceClaim) -> Option<JobKey> {
        let callers = self.callers.sharers(claim.caller);
        let keys = self.key_sharers(claim.key);
        let caller_excess = self.callers.most_waiting() * callers;
        let key_excess = self.keys.most_waiting() * keys;
        let claimed = self
            .callers
            .claim(claim.caller, callers)
            .max(self.keys.claim(claim.key, keys));
        if caller_excess.max(key_excess) <= claimed.max(self.len()) {
            return None;
        }
        if caller_excess >= key_excess {
            return self.last_where(|place| self.callers.holds_most(place.caller));
        }
        self.last_where(|place| place.key.is_some_and(|key| self.keys.holds_most(key)))
    }

    /// Reports whether the newcomer would be over its share of the places by
    /// caller or key, while others wait or run.
    pub fn is_over_share(&self, claim: PlaceClaim) -> bool {
        let callers = self.callers.sharers(claim.caller);
        let keys = self.key_sharers(claim.key);
        let by_caller = callers > 1 && self.callers.claim(claim.caller, callers) > self.len();
        let by_key = keys > 1 && self.keys.claim(claim.key, keys) > self.len();
        by_caller || by_key
    }

    /// Returns the job that stands last in fair order.
    pub fn last(&self) -> Option<JobKey> {
        self.line.first().map(|place| place.job)
    }

    /// Counts those who share by key; all work without a key is one of them,
    /// and the only one that isn't held to its share.
    fn key_sharers(&self, newcomer: Option<PartyKey>) -> usize {
        self.keys.sharers(newcomer) + usize::from(self.keyless > 0)
    }

    fn last_where(&self, wanted: impl Fn(&LinePlace) -> bool) -> Option<JobKey> {
        let place = self.line.iter().find(|place| wanted(place));
        place.map(|place| place.job)
    }

    fn next_index(&self, slots: usize) -> Option<usize> {
        let front = self.line.len().checked_sub(1)?;
        let caller_share = slots.div_ceil(self.callers.sharers(None).max(1)) as u32;
        let key_share = slots.div_ceil(self.key_sharers(None).max(1)) as u32;
        let below_share = |place: &LinePlace| {
            let key_fits = place
                .key
                .is_none_or(|key| self.keys.running(key) < key_share);
            key_fits && self.callers.running(place.caller) < caller_share
        };
        let found = self
            .line
            .iter()
            .rev()
            .take(STAND_BACK_SCAN)
            .position(below_share);
        Some(front - found.unwrap_or(0))
    }

    fn take(&mut self, at: usize) -> LinePlace {
        let place = self.line.remove(at);
        self.callers.end_wait(place.caller);
        if let Some(key) = place.key {
            self.keys.end_wait(key);
        } else {
            self.keyless -= 1;
        }
        if self.line.is_empty() {
            self.virtual_time = self.virtual_time.max(self.charged_to);
        }
        place
    }

    fn position(&self, tag: u64, seq: u64) -> usize {
        self.line
            .binary_search_by_key(&Reverse((tag, seq)), |place| {
                Reverse((place.tag, place.seq))
            })
            .unwrap_or_else(|at| at)
    }
}
