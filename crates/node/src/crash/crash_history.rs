//! Crash records that all nodes share.

use std::{collections::VecDeque, time::Duration};

use super::{CompletionEvidence, CrashRecord, PoisonLimits, PoisonRegistry, PoisonStatus};
use crate::store::Revision;

/// Prefix of the keys of crashes in the store.
pub const CRASH_PREFIX: &str = "geranium/crash/";
/// Crashes after which a request is refused. A service may have no more than this number
/// of backend servers. Requests that only ran beside the one that crashes them are cleared
/// by successful completions, or refused for a short time.
const REFUSAL_CRASHES: u32 = 2;
/// Time for which a request stays refused. Callers' automatic resends end by then.
const REFUSAL_TIME: Duration = Duration::from_secs(600);
/// Maximum number of records that are kept for nodes that ask for updates.
const RECORDS_MAX: usize = 256;

/// Crash records that all nodes share, and the requests refused because of them.
#[derive(Debug)]
pub struct CrashHistory {
    registry: PoisonRegistry,
    records: VecDeque<(Revision, CrashRecord)>,
}

impl Default for CrashHistory {
    fn default() -> Self {
        let limits = PoisonLimits {
            crashes: REFUSAL_CRASHES,
            refusal_time: REFUSAL_TIME,
        };
        Self {
            registry: PoisonRegistry::new(limits),
            records: VecDeque::new(),
        }
    }
}

impl CrashHistory {
    /// Adds a record and returns whether it was new.
    ///
    /// The revision is that of the record in the store, 0 while it isn't known. Other nodes
    /// get a record from this one once its revision is known.
    pub fn record(&mut self, now: Duration, record: CrashRecord, revision: Revision) -> bool {
        let is_new = self.registry.record(now, record.clone());
        if is_new {
            if self.records.len() == RECORDS_MAX {
                self.records.pop_front();
            }
            self.records.push_back((revision, record));
        } else if let Some(known) = self
            .records
            .iter_mut()
            .find(|known| known.1.is_same_crash(&record))
        {
            known.0 = known.0.max(revision);
            known.1.completions = known.1.completions.max(record.completions);
        }
        is_new
    }

    /// Records that a backend server completed a request successfully.
    pub fn record_completion(&mut self, fingerprint: u64) {
        self.registry.record_completion(fingerprint);
    }

    /// Returns what this node knows of the completions of a request that was running at a crash;
    /// none for other requests.
    pub fn evidence(&self, fingerprint: u64) -> Option<CompletionEvidence> {
        self.registry.evidence(fingerprint)
    }

    /// Returns the completions of a request since its latest crash, by what this node and the
    /// request's sender know.
    ///
    /// A sender that knows of fewer crashes counts completions before the latest one.
    pub fn completions(&self, fingerprint: u64, of_sender: Option<CompletionEvidence>) -> u32 {
        let Some(known) = self.registry.evidence(fingerprint) else {
            return of_sender.map_or(0, |evidence| evidence.completions);
        };
        let of_sender = of_sender.filter(|evidence| evidence.crashes >= known.crashes);
        let of_sender = of_sender.map_or(0, |evidence| evidence.completions);
        known.completions.max(of_sender)
    }

    /// Returns the time for which a request is still refused; none when it isn't refused.
    pub fn refusal(&self, now: Duration, fingerprint: u64) -> Option<Duration> {
        match self.registry.status(now, fingerprint) {
            PoisonStatus::Refused { retry_after } => Some(retry_after),
            PoisonStatus::Clear | PoisonStatus::Suspect => None,
        }
    }

    /// Returns whether a request must not run beside other suspects.
    ///
    /// A suspect was running when a backend server crashed. A request whose successful completions
    /// offset a crash more likely only ran beside the cause, and isn't a suspect.
    pub fn is_suspect(&self, now: Duration, fingerprint: u64) -> bool {
        let status = self.registry.status(now, fingerprint);
        status == PoisonStatus::Suspect && !self.registry.has_offset_crash(fingerprint)
    }

    /// Returns the records after a revision, each with its own revision, for another node.
    pub fn records_since(&self, since: Revision) -> Vec<(u64, CrashRecord)> {
        let records = self
            .records
            .iter()
            .filter(|(revision, _)| *revision > since);
        records
            .map(|(revision, record)| (revision.0, record.clone()))
            .collect()
    }
}
