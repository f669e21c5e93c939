//! One backend server in the picker's arena.

use std::time::Duration;

use geranium_model::{MemberRow, MemberState};

use super::{backend_evidence::BackendEvidence, slow_start};

/// Where a backend server stands in its service's pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PoolPlace {
    pub(super) pool: u32,
    pub(super) tier: usize,
}

/// Row, evidence and place of one backend server.
#[derive(Debug)]
pub(super) struct BackendSlot {
    pub(super) row: MemberRow,
    pub(super) evidence: BackendEvidence,
    pub(super) place: Option<PoolPlace>,
    pub(super) cold_since: Duration,
}

impl BackendSlot {
    pub(super) fn new(now: Duration, row: MemberRow) -> Self {
        Self {
            row,
            evidence: BackendEvidence::default(),
            place: None,
            cold_since: now,
        }
    }

    /// Replaces the row; a new process or announcement starts cold.
    pub(super) fn replace(&mut self, now: Duration, row: MemberRow) {
        let restarted = row.started != self.row.started;
        let announced = row.state <= MemberState::Warming && self.row.state > MemberState::Warming;
        if restarted || announced {
            self.evidence.restart();
            self.cold_since = now;
        }
        self.row = row;
    }

    /// Returns the share of draws it takes part in.
    pub(super) fn share(&self, now: Duration) -> f64 {
        slow_start::share(now, self.cold_since, self.row.state)
    }
}
