//! Turns of the accounts within one rank.

use std::{collections::HashMap, time::Duration};

use super::FairFlow;
use crate::member::MovingMean;

/// Share of the mean served share that each account gets in any case. Without it, an account that
/// regularly sends a third of all requests would be served a tenth as often as the others. The
/// margin over a quarter covers requests that are refused elsewhere for other reasons.
const FLOOR_SHARE: f64 = 0.3;
/// Largest number of requests that an account is owed.
const OWED_MAX: f64 = 4.0;
/// Weight of one decision in the mean served share, which spans about a hundred decisions.
const SERVED_WEIGHT: f64 = 0.01;

/// What one flow has had.
#[derive(Debug, Clone, Copy)]
struct FlowRecord {
    /// Virtual time at which the next turn of the flow begins at the earliest, in seconds of run
    /// time.
    next_turn: f64,
    /// Requests that are to be served before any turn, so that the flow gets [`FLOOR_SHARE`].
    owed: f64,
    last_request_at: Duration,
}

/// Turns of the accounts within one rank, by start-time fair queueing.
///
/// The virtual time is that at which the turn of the request that started last began. A flow whose
/// requests run moves ahead by their expected run times, and a flow that had none for a while starts
/// at the present virtual time: unused turns aren't saved up.
#[derive(Debug, Default)]
pub(super) struct RankTurns {
    virtual_time: f64,
    records: HashMap<FairFlow, FlowRecord>,
    /// Share of the requests with an account that were served.
    served: MovingMean,
    decisions: u32,
}

/// Position of a flow while the order of its queued requests is worked out.
#[derive(Debug, Clone, Copy)]
pub(super) struct FlowTurn {
    next_turn: f64,
    owed: f64,
}

impl FlowTurn {
    /// Returns the virtual time at which the flow's next request begins, and moves on by that
    /// request's `cost`. Requests that the flow is owed begin before all turns.
    pub(super) fn take(&mut self, cost: f64) -> f64 {
        if self.owed >= 1.0 {
            self.owed -= 1.0;
            return f64::NEG_INFINITY;
        }
        let turn = self.next_turn;
        self.next_turn += cost;
        turn
    }
}

impl RankTurns {
    /// Whether nothing is known of this flow.
    pub(super) fn is_unknown(&self, flow: FairFlow) -> bool {
        !self.records.contains_key(&flow)
    }

    /// Whether an account has sent a request lately.
    pub(super) fn has_accounts(&self) -> bool {
        self.records.keys().any(|flow| flow.has_account())
    }

    /// Returns the number of accounts that are told apart.
    pub(super) fn account_count(&self) -> usize {
        let flows = self.records.keys();
        flows
            .filter(|flow| matches!(flow, FairFlow::Account(_)))
            .count()
    }

    /// Records a request.
    pub(super) fn record_request(&mut self, now: Duration, flow: FairFlow) {
        let record = self.records.entry(flow).or_insert(FlowRecord {
            next_turn: self.virtual_time,
            owed: 0.0,
            last_request_at: now,
        });
        record.last_request_at = now;
    }

    /// Records whether a request with an account was served, for which its flow is owed something.
    pub(super) fn record_decision(&mut self, flow: FairFlow, served: bool) {
        self.decisions = self.decisions.saturating_add(1);
        let weight = SERVED_WEIGHT.max(1.0 / f64::from(self.decisions));
        self.served.observe(f64::from(u8::from(served)), weight);
        let owed = FLOOR_SHARE * self.served.get().unwrap_or(1.0);
        if let Some(record) = self.records.get_mut(&flow) {
            record.owed = (record.owed + owed).min(OWED_MAX);
        }
    }

    /// Records that a request of `flow` starts.
    pub(super) fn record_start(&mut self, flow: FairFlow, cost: f64) {
        let cost = self.weighted(flow, cost);
        let Some(record) = self.records.get_mut(&flow) else {
            return;
        };
        let is_owed = record.owed >= 1.0;
        record.owed = (record.owed - 1.0).max(0.0);
        if is_owed {
            return;
        }
        let turn = record.next_turn.max(self.virtual_time);
        record.next_turn = turn + cost;
        self.virtual_time = turn;
    }

    /// Whether the flow is owed a request, which goes before all turns.
    pub(super) fn is_owed(&self, flow: FairFlow) -> bool {
        let record = self.records.get(&flow);
        record.is_some_and(|record| record.owed >= 1.0)
    }

    /// Whether the flow's next turn has come.
    pub(super) fn is_due(&self, flow: FairFlow) -> bool {
        let record = self.records.get(&flow);
        record.is_none_or(|record| record.next_turn <= self.virtual_time)
    }

    /// Returns the next turn of a flow.
    pub(super) fn turn(&self, flow: FairFlow) -> FlowTurn {
        let record = self.records.get(&flow);
        FlowTurn {
            next_turn: record.map_or(self.virtual_time, |record| {
                record.next_turn.max(self.virtual_time)
            }),
            owed: record.map_or(0.0, |record| record.owed),
        }
    }

    /// Returns the virtual time that a run of `cost` seconds takes. The requests without an account
    /// are of many callers: together they count as much as all accounts.
    pub(super) fn weighted(&self, flow: FairFlow, cost: f64) -> f64 {
        match flow {
            FairFlow::Unnamed => cost / self.account_count().max(1) as f64,
            FairFlow::Account(_) | FairFlow::Shared => cost,
        }
    }

    /// Forgets the flows without a request since `oldest`.
    pub(super) fn forget_before(&mut self, oldest: Duration) {
        self.records
            .retain(|_, record| record.last_request_at >= oldest);
    }
}
