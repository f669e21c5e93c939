//! Crash counts per request.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{
    CompletionEvidence, CrashRecord, PoisonLimits, PoisonStatus,
    completion_credit::CompletionCredit, suspect_record::SuspectRecord,
};
use crate::member::EndpointStart;

/// Completions between two crashes from which on the later one is offset. Completions that a crash
/// of the same request would have prevented make it likely that the request only ran beside the
/// cause.
const COMPLETIONS_BETWEEN_CRASHES: u32 = 3;
/// Maximum number of records in memory. It is enough for a release that crashes every
/// backend server of a data centre with a dozen requests each.
const RECORDS_MAX: usize = 4_096;
/// Divisor of the refusal time for requests that always ran beside others. It applies while
/// they have no more crashes than the limit. Of a dozen such requests one is the cause, and
/// a wrong guess costs one more crash a minute later.
const SHARED_CRASH_REFUSAL_DIVISOR: u32 = 10;

/// A request that was running at a crash.
#[derive(Debug, Clone, Copy)]
struct CrashedRun {
    fingerprint: u64,
    /// Whether the crash is offset by completions since the crash before.
    is_offset: bool,
}

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
///     Ok::<_, StartError>(CrashRecord { fingerprint: 7, start, completions: 0 })
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
    crashes: HashMap<EndpointStart, Vec<CrashedRun>>,
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
    ///
    /// Of two records of the same crash, the larger number of completions counts.
    pub fn record(&mut self, now: Duration, record: CrashRecord) -> bool {
        self.expire(now);
        let crash = self.crashes.entry(record.start.clone()).or_default();
        let fingerprint = record.fingerprint;
        let suspect = self.suspects.entry(fingerprint);
        let suspect = suspect.or_insert(SuspectRecord::new(now));
        if record.completions > 0 {
            suspect.mark_completed();
        }
        if let Some(known) = crash.iter_mut().find(|run| run.fingerprint == fingerprint) {
            if !known.is_offset && record.completions >= COMPLETIONS_BETWEEN_CRASHES {
                known.is_offset = true;
                suspect.offset_one();
            }
            return false;
        }
        let completions = record.completions.max(suspect.completions());
        suspect.record_crash(now);
        let is_offset =
            self.credit.spend(fingerprint) || completions >= COMPLETIONS_BETWEEN_CRASHES;
        if is_offset {
            suspect.offset_one();
        }
        crash.push(CrashedRun {
            fingerprint,
            is_offset,
        });
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
        suspect.record_completion();
        if suspect.crashes_not_offset() > 0 && self.credit.spend(fingerprint) {
            suspect.offset_one();
        }
    }

    /// Returns what is known of the completions of a request that was running at a crash.
    pub fn evidence(&self, fingerprint: u64) -> Option<CompletionEvidence> {
        let suspect = self.suspects.get(&fingerprint)?;
        Some(CompletionEvidence {
            crashes: suspect.crashes(),
            completions: suspect.completions(),
        })
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
        let crashed_alone = self.crashed_alone(fingerprint) && !suspect.has_completed();
        if above_limit || crashed_alone {
            self.limits.refusal_time
        } else {
            self.limits.refusal_time / SHARED_CRASH_REFUSAL_DIVISOR
        }
    }

    fn crashed_alone(&self, fingerprint: u64) -> bool {
        let mut crashes = self.crashes.values();
        crashes.any(|crash| matches!(&**crash, [run] if run.fingerprint == fingerprint))
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
            crash.retain(|run| run.fingerprint != record.fingerprint);
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
