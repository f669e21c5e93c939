//! Crash counts per request.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{
    CrashRecord, PoisonLimits, PoisonStatus, completion_credit::CompletionCredit,
    suspect_record::SuspectRecord,
};
use crate::member::EndpointStart;

/// Maximum number of records in memory. It is enough for a release that crashes every
/// backend server of a data centre with a dozen requests each.
const RECORDS_MAX: usize = 4_096;
/// Divisor of the refusal time for requests that always ran beside others. It applies while
/// they have no more crashes than the limit. Of a dozen such requests one is the cause, and
/// a wrong guess costs one more crash a minute later.
const SHARED_CRASH_REFUSAL_DIVISOR: u32 = 10;

/// Counts crashes per request and decides which requests are refused.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_node::{
///     crash::{CrashRecord, PoisonRegistry, PoisonLimits, PoisonStatus},
///     member::{EndpointStart, StartError, StartInput},
/// };
///
/// let limits = PoisonLimits { crashes: 2, refusal_time: Duration::from_secs(600) };
/// let mut registry = PoisonRegistry::new(limits);
/// let crash = |instance: &str| {
///     let instance = instance.to_owned();
///     let born_ms = None;
///     let start = EndpointStart::try_from(StartInput { instance, born_ms })?;
///     Ok::<_, StartError>(CrashRecord { fingerprint: 7, start })
/// };
/// let now = Duration::from_secs(1);
/// assert!(registry.record(now, crash("till-1")?));
/// assert!(!registry.record(now, crash("till-1")?));
/// assert_eq!(registry.status(now, 7), PoisonStatus::Suspect);
/// registry.record(now, crash("till-2")?);
/// assert!(matches!(registry.status(now, 7), PoisonStatus::Refused { .. }));
/// # Ok::<(), StartError>(())
/// ```
#[derive(Debug)]
pub struct PoisonRegistry {
    limits: PoisonLimits,
    records: VecDeque<(Duration, CrashRecord)>,
    crashes: HashMap<EndpointStart, Vec<u64>>,
    suspects: HashMap<u64, SuspectRecord>,
    credit: CompletionCredit,
}

impl PoisonRegistry {
    /// Creates an empty registry.
    pub fn new(limits: PoisonLimits) -> Self {
        Self {
            limits,
            records: VecDeque::new(),
            crashes: HashMap::new(),
            suspects: HashMap::new(),
            credit: CompletionCredit::new(),
        }
    }

    /// Adds a record and returns whether it was new.
    pub fn record(&mut self, now: Duration, record: CrashRecord) -> bool {
        self.expire(now);
        let crash = self.crashes.entry(record.start.clone()).or_default();
        if crash.contains(&record.fingerprint) {
            return false;
        }
        crash.push(record.fingerprint);
        let suspect = self.suspects.entry(record.fingerprint);
        let suspect = suspect.or_insert(SuspectRecord::new(now));
        suspect.record_crash(now);
        if self.credit.spend(record.fingerprint) {
            suspect.offset_one();
        }
        self.records.push_back((now, record));
        if self.records.len() > RECORDS_MAX {
            self.forget_oldest();
        }
        true
    }

    /// Records that a backend server completed a request successfully.
    pub fn record_completion(&mut self, fingerprint: u64) {
        self.credit.record_completion(fingerprint);
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        if suspect.crashes_not_offset() > 0 && self.credit.spend(fingerprint) {
            suspect.offset_one();
        }
    }

    /// Returns whether a request may run, and with what restriction.
    pub fn status(&self, now: Duration, fingerprint: u64) -> PoisonStatus {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return PoisonStatus::Clear;
        };
        let age = suspect.age(now);
        if suspect.crashes_not_offset() == 0 || age >= self.limits.refusal_time {
            return PoisonStatus::Clear;
        }
        if suspect.crashes_not_offset() < self.limits.crashes {
            return PoisonStatus::Suspect;
        }
        let refusal_time = self.refusal_time_of(fingerprint, suspect);
        if age >= refusal_time {
            return PoisonStatus::Suspect;
        }
        PoisonStatus::Refused {
            retry_after: refusal_time.saturating_sub(age),
        }
    }

    /// Returns whether successful completions offset a crash of the request.
    pub fn has_offset_crash(&self, fingerprint: u64) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(SuspectRecord::has_offset_crash)
    }

    /// Returns the records in memory, oldest first.
    pub fn records(&self) -> impl Iterator<Item = &CrashRecord> {
        self.records.iter().map(|(_, record)| record)
    }

    fn refusal_time_of(&self, fingerprint: u64, suspect: &SuspectRecord) -> Duration {
        let above_limit = suspect.crashes_not_offset() > self.limits.crashes;
        // Several servers that end together, as after a bad release, each have the
        // frequent requests in flight. A request with successful completions is more likely
        // one of these than the cause, and it can't complete again while it is refused.
        let above_limit = above_limit && !suspect.has_offset_crash();
        if above_limit || self.crashed_alone(fingerprint) {
            self.limits.refusal_time
        } else {
            self.limits.refusal_time / SHARED_CRASH_REFUSAL_DIVISOR
        }
    }

    fn crashed_alone(&self, fingerprint: u64) -> bool {
        self.crashes.values().any(|crash| crash == &[fingerprint])
    }

    fn expire(&mut self, now: Duration) {
        let memory = self.limits.refusal_time;
        while let Some((at, _)) = self.records.front() {
            if now.saturating_sub(*at) < memory {
                break;
            }
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((_, record)) = self.records.pop_front() else {
            return;
        };
        if let Some(crash) = self.crashes.get_mut(&record.start) {
            crash.retain(|&fingerprint| fingerprint != record.fingerprint);
            if crash.is_empty() {
                self.crashes.remove(&record.start);
            }
        }
        if let Some(suspect) = self.suspects.get_mut(&record.fingerprint) {
            suspect.remove_oldest();
            if suspect.crashes() == 0 {
                self.suspects.remove(&record.fingerprint);
            }
        }
    }
}
