//! Order in which the admission queue serves accounts.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use super::{
    AdmissionRequest, FairFlow, FlowRequest, QueueKey,
    queued_request::QueuedRequest,
    rank_turns::RankTurns,
    refused_attempts::{AttemptMark, RefusedAttempts},
};

/// Largest number of accounts that are told apart, over all ranks.
const ACCOUNTS_MAX: usize = 256;
/// Time after its last request for which an account is remembered.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Time between searches for accounts to forget.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);

/// Order in which the admission queue serves accounts.
///
/// It is made for a shortage: all accounts together ask for more than the backend server can run, and one of them
/// sends many times its usual rate, retries at once or sends requests with long runs. In the order of
/// target times, each account would be refused as often as that one.
///
/// Within a rank, start-time fair queueing gives each account the same run time, as far as it asks
/// for it; an account that asks for more gets what the others leave. Requests of one account keep the
/// order of target times. Without accounts there is no state, and the order is that of the keys.
#[derive(Debug, Default)]
pub(super) struct FairSchedule {
    ranks: BTreeMap<u8, RankTurns>,
    refused: RefusedAttempts,
    forgotten_at: Duration,
}

impl FairSchedule {
    /// Whether no account has sent a request lately.
    pub(super) fn is_unused(&self) -> bool {
        self.ranks.is_empty()
    }

    /// Returns the flow of a request with this account.
    pub(super) fn flow_of(&self, rank: u8, account: Option<u64>) -> FairFlow {
        let Some(account) = account else {
            return FairFlow::Unnamed;
        };
        let flow = FairFlow::Account(account);
        let turns = self.ranks.get(&rank);
        if turns.is_none_or(|turns| turns.is_unknown(flow)) && self.account_count() >= ACCOUNTS_MAX
        {
            FairFlow::Shared
        } else {
            flow
        }
    }

    /// Returns a request as one of its flow. Nested calls go first and have no flow of their own.
    pub(super) fn flow_request(&self, request: &AdmissionRequest, late: bool) -> FlowRequest {
        if request.is_nested {
            return FlowRequest::UNNAMED;
        }
        let mark = AttemptMark::of(request);
        let is_known = mark.is_some_and(|mark| self.refused.contains(&mark));
        FlowRequest {
            flow: self.flow_of(request.rank, request.account),
            mark,
            is_counted: !late && !is_known,
        }
    }

    /// Records a request, and returns it as one of its flow.
    pub(super) fn record_request(
        &mut self,
        now: Duration,
        request: &AdmissionRequest,
        late: bool,
    ) -> FlowRequest {
        self.forget_idle(now);
        let flow_request = self.flow_request(request, late);
        if flow_request.flow.has_account() {
            self.ranks.entry(request.rank).or_default();
        }
        if let Some(turns) = self
            .ranks
            .get_mut(&request.rank)
            .filter(|_| !request.is_nested)
        {
            turns.record_request(now, flow_request.flow);
        }
        flow_request
    }

    /// Whether the flow is owed a request, which goes before the turns of its rank.
    pub(super) fn is_owed(&self, rank: u8, flow: FairFlow) -> bool {
        let turns = self.ranks.get(&rank);
        turns.is_some_and(|turns| turns.is_owed(flow))
    }

    /// Whether the flow has an account and has had no more than the others of its rank.
    pub(super) fn is_due(&self, rank: u8, flow: FairFlow) -> bool {
        let turns = self.ranks.get(&rank).filter(|_| flow.has_account());
        turns.is_some_and(|turns| turns.is_due(flow))
    }

    /// Records whether a request was served.
    pub(super) fn record_decision(&mut self, rank: u8, request: FlowRequest, served: bool) {
        let Some(mark) = request.mark else {
            return;
        };
        if !served {
            self.refused.record(mark);
        }
        if let Some(turns) = self.ranks.get_mut(&rank).filter(|_| request.is_counted) {
            turns.record_decision(request.flow, served);
        }
    }

    /// Records that a request with an expected run time starts.
    pub(super) fn record_start(&mut self, rank: u8, flow: FairFlow, run_time: Duration) {
        if let Some(turns) = self.ranks.get_mut(&rank) {
            turns.record_start(flow, run_time.as_secs_f64());
        }
    }

    /// Returns the keys of queued requests in the order in which they are served.
    pub(super) fn service_order(
        &self,
        waiting: &BTreeMap<QueueKey, QueuedRequest>,
    ) -> Vec<QueueKey> {
        if self.is_unused() {
            return waiting.keys().copied().collect();
        }
        let mut turns = HashMap::new();
        let mut entries: Vec<_> = waiting
            .iter()
            .map(|(&key, queued)| {
                let flow = queued.flow_request.flow;
                let rank_turns = self.ranks.get(&key.rank).filter(|_| key.is_new);
                let turn = rank_turns.map_or(0.0, |rank_turns| {
                    let cost = rank_turns.weighted(flow, queued.run_time.as_secs_f64());
                    let turn = turns
                        .entry((key.rank, flow))
                        .or_insert_with(|| rank_turns.turn(flow));
                    turn.take(cost)
                });
                (key.class(), turn, key)
            })
            .collect();
        entries.sort_by(|a, b| {
            let by_class = a.0.cmp(&b.0);
            by_class.then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2))
        });
        entries.into_iter().map(|(_, _, key)| key).collect()
    }

    /// Returns the number of accounts that are told apart, over all ranks.
    pub(super) fn account_count(&self) -> usize {
        self.ranks.values().map(RankTurns::account_count).sum()
    }

    /// Forgets accounts without recent requests, and everything once there are none.
    fn forget_idle(&mut self, now: Duration) {
        if self.is_unused() || now < self.forgotten_at + FORGET_INTERVAL {
            return;
        }
        self.forgotten_at = now;
        let oldest = now.saturating_sub(IDLE_TIME);
        for turns in self.ranks.values_mut() {
            turns.forget_before(oldest);
        }
        self.ranks.retain(|_, turns| turns.has_accounts());
        if self.is_unused() {
            self.refused.clear();
        }
    }
}
