//! Crashes as all nodes know them.

use std::{collections::VecDeque, time::Duration};

use super::{CrashRecord, PoisonLimits, PoisonRegistry, PoisonStatus};
use crate::store::Revision;

/// Prefix of the crashes in the store.
pub const CRASH_PREFIX: &str = "geranium/crash/";
/// Crashes after which a request is refused. A service may have no more backend servers
/// than that. Requests that only ran beside the one that crashes them are cleared by their
/// good answers, or refused for a short time.
const CRASHES_MAX: u32 = 2;
/// Time for which such a request stays refused: a caller's automatic resends
/// end by then.
const HOLD: Duration = Duration::from_secs(600);
/// Rows that are handed on to nodes that ask for news.
const ROWS_KEPT: usize = 256;

/// Crashes as all nodes know them, and what follows for requests.
#[derive(Debug)]
pub struct CrashHistory {
    registry: PoisonRegistry,
    rows: VecDeque<(Revision, CrashRecord)>,
}

impl Default for CrashHistory {
    fn default() -> Self {
        let limits = PoisonLimits {
            crashes: CRASHES_MAX,
            hold: HOLD,
        };
        Self {
            registry: PoisonRegistry::new(limits),
            rows: VecDeque::new(),
        }
    }
}

impl CrashHistory {
    /// Takes in a row and returns whether it was new. The revision is that of the row in the
    /// store, 0 while it isn't known; rows are handed on once it is.
    pub fn record(&mut self, now: Duration, row: CrashRecord, revision: Revision) -> bool {
        let new = self.registry.record(now, row.clone());
        if new {
            if self.rows.len() == ROWS_KEPT {
                self.rows.pop_front();
            }
            self.rows.push_back((revision, row));
        } else if let Some(known) = self.rows.iter_mut().find(|known| known.1 == row) {
            known.0 = known.0.max(revision);
        }
        new
    }

    /// Notes that a request was answered well.
    pub fn completed(&mut self, fingerprint: u64) {
        self.registry.completed(fingerprint);
    }

    /// Returns how long a request is refused, if it is.
    pub fn refusal(&self, now: Duration, fingerprint: u64) -> Option<Duration> {
        match self.registry.status(now, fingerprint) {
            PoisonStatus::Refused { retry_after } => Some(retry_after),
            PoisonStatus::Clear | PoisonStatus::Suspect => None,
        }
    }

    /// Whether a request is to run by itself, as it was running when a backend server
    /// crashed. One that was answered well before is more likely a bystander.
    pub fn is_suspect(&self, now: Duration, fingerprint: u64) -> bool {
        let status = self.registry.status(now, fingerprint);
        status == PoisonStatus::Suspect && !self.registry.was_good(fingerprint)
    }

    /// Returns the rows after a revision, for another node.
    pub fn records_since(&self, since: Revision) -> Vec<(u64, CrashRecord)> {
        let rows = self.rows.iter().filter(|(revision, _)| *revision > since);
        rows.map(|(revision, row)| (revision.0, row.clone()))
            .collect()
    }
}
