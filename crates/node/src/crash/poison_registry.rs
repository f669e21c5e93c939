//! The register itself.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use super::{
    CrashRecord, PoisonLimits, PoisonStatus, completion_credit::CompletionCredit,
    suspect_record::SuspectRecord,
};
use crate::member::EndpointStart;

/// Rows kept, enough for a release that crashes every backend server of a data centre
/// with a dozen requests each.
const ROWS_MAX: usize = 4_096;
/// Divisor of the hold for requests that were always in company and crashed
/// no server more than the limit asks: one of a dozen is guilty, and a wrong
/// guess costs one more crash in a minute's time.
const COMPANY_HOLD_DIVISOR: u32 = 10;

/// Counts crashes per request and says which to refuse.
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
/// let limits = PoisonLimits { crashes: 2, hold: Duration::from_secs(600) };
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
    rows: VecDeque<(Duration, CrashRecord)>,
    crashes: HashMap<EndpointStart, Vec<u64>>,
    suspects: HashMap<u64, SuspectRecord>,
    credit: CompletionCredit,
}

impl PoisonRegistry {
    /// Makes an empty register.
    pub fn new(limits: PoisonLimits) -> Self {
        Self {
            limits,
            rows: VecDeque::new(),
            crashes: HashMap::new(),
            suspects: HashMap::new(),
            credit: CompletionCredit::new(),
        }
    }

    /// Takes in a row and reports whether it was new.
    pub fn record(&mut self, now: Duration, row: CrashRecord) -> bool {
        self.expire(now);
        let crash = self.crashes.entry(row.start.clone()).or_default();
        if crash.contains(&row.fingerprint) {
            return false;
        }
        crash.push(row.fingerprint);
        let suspect = self.suspects.entry(row.fingerprint);
        let suspect = suspect.or_insert(SuspectRecord::new(now));
        suspect.crashed(now);
        if self.credit.pay(row.fingerprint) {
            suspect.pay();
        }
        self.rows.push_back((now, row));
        if self.rows.len() > ROWS_MAX {
            self.forget_oldest();
        }
        true
    }

    /// Notes that a request was answered well by a backend server.
    pub fn completed(&mut self, fingerprint: u64) {
        self.credit.completed(fingerprint);
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        if suspect.unpaid() > 0 && self.credit.pay(fingerprint) {
            suspect.pay();
        }
    }

    /// Says whether a request may run.
    pub fn status(&self, now: Duration, fingerprint: u64) -> PoisonStatus {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return PoisonStatus::Clear;
        };
        let age = suspect.age(now);
        if suspect.unpaid() == 0 || age >= self.limits.hold {
            return PoisonStatus::Clear;
        }
        if suspect.unpaid() < self.limits.crashes {
            return PoisonStatus::Suspect;
        }
        let hold = self.hold_of(fingerprint, suspect);
        if age >= hold {
            return PoisonStatus::Suspect;
        }
        PoisonStatus::Refused {
            retry_after: hold.saturating_sub(age),
        }
    }

    /// Whether good answers paid for a crash of the request.
    pub fn was_good(&self, fingerprint: u64) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(SuspectRecord::was_good)
    }

    /// Returns the rows in memory.
    pub fn rows(&self) -> impl Iterator<Item = &CrashRecord> {
        self.rows.iter().map(|(_, row)| row)
    }

    fn hold_of(&self, fingerprint: u64, suspect: &SuspectRecord) -> Duration {
        let beyond = suspect.unpaid() > self.limits.crashes;
        // Several servers that end together, as after a bad release, each have the
        // popular requests in flight. One that was answered well before is more
        // likely such a bystander than guilty, and refused it can't show it.
        let beyond = beyond && !suspect.was_good();
        if beyond || self.was_alone(fingerprint) {
            self.limits.hold
        } else {
            self.limits.hold / COMPANY_HOLD_DIVISOR
        }
    }

    fn was_alone(&self, fingerprint: u64) -> bool {
        self.crashes.values().any(|crash| crash == &[fingerprint])
    }

    fn expire(&mut self, now: Duration) {
        let memory = self.limits.hold;
        while let Some((at, _)) = self.rows.front() {
            if now.saturating_sub(*at) < memory {
                break;
            }
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((_, row)) = self.rows.pop_front() else {
            return;
        };
        if let Some(crash) = self.crashes.get_mut(&row.start) {
            crash.retain(|&fingerprint| fingerprint != row.fingerprint);
            if crash.is_empty() {
                self.crashes.remove(&row.start);
            }
        }
        if let Some(suspect) = self.suspects.get_mut(&row.fingerprint) {
            suspect.forget_one();
            if suspect.crashes() == 0 {
                self.suspects.remove(&row.fingerprint);
            }
        }
    }
}
