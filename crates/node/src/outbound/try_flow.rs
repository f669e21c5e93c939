//! Sequence of tries of one request.

use std::{rc::Rc, time::Duration};

use http::Response;
use hyper::body::Body;
use tokio::{
    select,
    time::{Instant, timeout},
};

use super::{
    OutboundRequest, TryFailure, TryResult, TrySender,
    try_record::{PROBES_MAX, TRIES_MAX, TryRecord},
};
use crate::{
    inbound::{InboundRefusal, RefusalReason},
    member::{MemberKey, MemberRecord, PickQuery, TryOutcome},
    node_core::{NodeCore, VersionPlan},
    response_body::ResponseBody,
    retry::RetryQuery,
};

/// Largest body in bytes that is sent to a member without asking whether it would be admitted. The
/// question and its answer have about half of that.
const UNASKED_BODY_MAX_BYTES: u64 = 1_024;
/// Longest wait for a member's answer whether it would admit a request.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(300);

/// A member that the request is sent to next, or was sent to.
#[derive(Debug, Clone)]
pub(super) struct NextTry {
    pub(super) key: MemberKey,
    pub(super) record: MemberRecord,
    /// Whether the request may wait in the member's queue; otherwise it is a probe.
    may_wait: bool,
    /// Whether there is no other member that the request could be sent to.
    is_only_member: bool,
}

/// Sends one request to members until one responds or the request is given up.
#[derive(Debug, Clone, Copy)]
pub(super) struct TryFlow<'a> {
    pub(super) core: &'a Rc<NodeCore>,
    pub(super) request: &'a OutboundRequest,
}

impl<'a> TryFlow<'a> {
    pub(super) const fn new(core: &'a Rc<NodeCore>, request: &'a OutboundRequest) -> Self {
        Self { core, request }
    }

    /// Tries members until one responds. Returns none when the request is given up.
    pub(super) async fn run(
        self,
        tries: &mut TryRecord<'_>,
    ) -> Option<Box<Response<ResponseBody>>> {
        loop {
            let next = self.next_try(tries)?;
            tries.begin(next.key);
            if let Err(failure) = self.ask_admission(&next).await {
                self.record_failure(tries, &next, failure);
                tries.last_member = Some(next.record);
                continue;
            }
            let (sent_try, result) = self.send_with_hedge(next, tries).await;
            match result {
                Ok(response) => {
                    tries.in_flight -= 1;
                    tries.last_member = Some(sent_try.record);
                    if let Some(response) = self.accept_response(tries, sent_try.key, response) {
                        return Some(response);
                    }
                }
                Err(failure) => {
                    let response_lost = matches!(failure, TryFailure::ResponseLost { .. });
                    self.record_failure(tries, &sent_try, failure);
                    tries.last_member = Some(sent_try.record);
                    if response_lost && !self.request.route.kind.is_idempotent() {
                        return None;
                    }
                }
            }
        }
    }

    /// Asks a member whether it would admit the request, where a refusal would waste a large body.
    ///
    /// The request is sent unasked while the service has free slots, as refusals are rare then.
    async fn ask_admission(self, next: &NextTry) -> Result<(), TryFailure> {
        let is_local = next.record.peer_addr == self.core.settings.peer_addr;
        let is_large = self.request.body.len() > UNASKED_BODY_MAX_BYTES;
        if is_local || !is_large || !next.may_wait {
            return Ok(());
        }
        let asked = self.try_sender(next).ask_admission(next.key, &next.record);
        match timeout(ADMISSION_TIMEOUT, asked).await {
            Ok(admission) => admission,
            Err(_elapsed) => Err(TryFailure::Unreachable(
                "no answer about admission".to_owned(),
            )),
        }
    }

    /// Records a response, and returns it unless another member is to be tried.
    ///
    /// Another member is tried only after a failure. That failure is kept as the fallback
    /// response in case the further tries fail, too.
    fn accept_response(
        self,
        tries: &mut TryRecord<'_>,
        key: MemberKey,
        response: Box<Response<ResponseBody>>,
    ) -> Option<Box<Response<ResponseBody>>> {
        let failed = response.status().is_server_error();
        let now = self.core.clock.now();
        let outcome = TryOutcome::Answered { failed };
        if tries.versions.is_trial {
            self.core.record_trial(&self.request.service, failed);
        }
        self.core
            .fleet
            .borrow_mut()
            .record_try_outcome(now, key, outcome);
        let whole = response.body().size_hint().exact().is_some();
        if !(failed && whole && self.may_retry(tries, key)) {
            return Some(response);
        }
        tries.earlier_try_may_have_run = true;
        tries.failure_cause = Some(format!("status {}", response.status().as_u16()));
        tries.fallback_response = Some(response);
        None
    }

    /// Sends the request to a member, and hedges it if that member is silent.
    ///
    /// Returns the try that responded or ended last, with its result.
    ///
    /// When a member freezes, loses power or its connection stalls, neither a response nor an error
    /// arrives. A member that sends this node nothing for the silence timeout is ejected, and an
    /// idempotent request is sent to another member as well. The first try continues until the
    /// second has a response, as it may be the only one to get one.
    async fn send_with_hedge(
        self,
        next: NextTry,
        tries: &mut TryRecord<'_>,
    ) -> (NextTry, TryResult) {
        let sent_at = self.core.clock.now();
        let silence_timeout = {
            let fleet = self.core.fleet.borrow();
            fleet.silence_timeout(sent_at, next.key, &self.query(tries))
        };
        let mut first = Box::pin(self.try_sender(&next).send(next.key, &next.record));
        if let Ok(result) = timeout(silence_timeout, &mut first).await {
            drop(first);
            return (next, result);
        }
        let silent = self.core.fleet.borrow().is_silent(next.key, sent_at);
        if silent {
            let now = self.core.clock.now();
            let mut fleet = self.core.fleet.borrow_mut();
            fleet.record_try_outcome(now, next.key, TryOutcome::Silent);
            drop(fleet);
            self.core
                .record_silent(self.request, &next.record, silence_timeout);
        }
        let hedge_try = if silent && self.may_hedge(tries) {
            self.next_try(tries)
        } else {
            None
        };
        let Some(hedge_try) = hedge_try else {
            let result = first.await;
            return (next, result);
        };
        tries.begin(hedge_try.key);
        let mut second = Box::pin(
            self.try_sender(&hedge_try)
                .send(hedge_try.key, &hedge_try.record),
        );
        select! {
            biased;
            result = &mut second => match result {
                Ok(response) => {
                    drop((first, second));
                    tries.in_flight -= 1;
                    (hedge_try, Ok(response))
                }
                Err(failure) => {
                    self.record_failure(tries, &hedge_try, failure);
                    let result = first.await;
                    (next, result)
                }
            },
            result = &mut first => match result {
                Ok(response) => {
                    drop((first, second));
                    tries.in_flight -= 1;
                    (next, Ok(response))
                }
                Err(failure) => {
                    self.record_failure(tries, &next, failure);
                    let result = second.await;
                    (hedge_try, result)
                }
            },
        }
    }

    fn try_sender(self, next: &NextTry) -> TrySender<'a> {
        TrySender {
            core: self.core,
            request: self.request,
            may_wait: next.may_wait,
            is_only_member: next.is_only_member,
        }
    }

    /// Whether a silent try may be hedged with a second one.
    ///
    /// The request must be idempotent, another member available, and neither the route's `attempts`
    /// nor the retry budget used up.
    fn may_hedge(self, tries: &TryRecord<'_>) -> bool {
        let now = self.core.clock.now();
        let fleet = self.core.fleet.borrow();
        self.request.route.kind.is_idempotent()
            && self.has_tries(tries)
            && fleet.has_available(now, &self.query(tries))
            && self.budget_allows_rerun(fleet.len())
    }

    /// Whether the request may be tried again after the member `failed` responded with a
    /// failure.
    fn may_retry(self, tries: &TryRecord<'_>, failed: MemberKey) -> bool {
        let early = Instant::now() < self.request.target_deadline;
        let idempotent = self.request.route.kind.is_idempotent();
        if !idempotent || !early || !self.has_tries(tries) {
            return false;
        }
        let now = self.core.clock.now();
        let fleet = self.core.fleet.borrow();
        fleet.has_healthier(now, failed, &self.query(tries))
            && self.budget_allows_rerun(fleet.len())
    }

    fn has_tries(self, tries: &TryRecord<'_>) -> bool {
        tries.arrivals < self.request.route.attempts && tries.tried.len() < TRIES_MAX
    }

    /// Whether the retry budget allows another try of a request that may have run.
    fn budget_allows_rerun(self, nodes: usize) -> bool {
        let retry_query = RetryQuery {
            service: &self.request.service,
            nodes,
            may_rerun: true,
        };
        let now = self.core.clock.now();
        self.core.retries.borrow().would_grant(now, retry_query)
    }

    /// Picks the next member, or returns none when the request is to be given up.
    fn next_try(self, tries: &mut TryRecord<'_>) -> Option<NextTry> {
        if tries.tried.len() >= TRIES_MAX || tries.crashes_servers || tries.key_reply.is_some() {
            return None;
        }
        if let Err(reply) = self.core.recheck_identity(self.request) {
            tries.key_reply = Some(reply);
            return None;
        }
        let now = self.core.clock.now();
        tries.versions = self.plan_versions(tries);
        let query = self.query(tries);
        let fleet = self.core.fleet.borrow();
        // All members that could be tried have just reported that their links are full. Further
        // tries would only cost each of them a request.
        if let Some(retry_after) = fleet.link_wait(now, &query) {
            tries.refusal = Some(InboundRefusal {
                reason: RefusalReason::LinkFull,
                retry_after,
            });
            return None;
        }
        // Nested calls are still sent: a refusal wastes the run that made them.
        if let Some(retry_after) = fleet.limit_wait(now, &query)
            && !self.request.is_nested
        {
            tries.refusal = Some(InboundRefusal {
                reason: RefusalReason::Limited,
                retry_after,
            });
            return None;
        }
        if tries.is_full() && !self.request.is_nested && !fleet.has_available(now, &query) {
            return None;
        }
        let rng = &mut rand::rng();
        let near = fleet.pick_in_data_centre(now, &query, rng);
        // A request that is suspected of crashing servers must queue at every inbound proxy.
        let suspect = self
            .core
            .crashes
            .borrow()
            .is_suspect(now, self.request.fingerprint);
        let probes = near.is_none()
            && !suspect
            && tries.probed.len() < PROBES_MAX
            && fleet.may_probe(&query);
        let key = match near {
            Some(near) => near,
            None if probes => fleet.pick(now, &query, rng)?,
            None => fleet.pick_queue(now, &query, rng)?,
        };
        let next = NextTry {
            key,
            record: fleet.get(key)?.record.clone(),
            may_wait: !probes,
            is_only_member: fleet.is_only_member(now, key, &query),
        };
        drop(fleet);
        if tries.arrivals > 0 && !self.may_arrive_again(tries) {
            return None;
        }
        Some(next)
    }

    /// Returns the members that the next try may go to, as rollouts restrict them.
    fn plan_versions(self, tries: &TryRecord<'_>) -> VersionPlan {
        let service = &self.request.service;
        if tries.count() > 0 {
            return self.core.plan_retry(service);
        }
        let route_hash = self.request.route.route_hash;
        self.core.plan_first_try(service, route_hash)
    }

    /// Withdraws another arrival at a backend server from the retry budget.
    ///
    /// Returns false if the route's `attempts` or the budget are used up.
    fn may_arrive_again(self, tries: &TryRecord<'_>) -> bool {
        if tries.arrivals >= self.request.route.attempts {
            return false;
        }
        let retry_query = RetryQuery {
            service: &self.request.service,
            nodes: self.core.fleet.borrow().len(),
            may_rerun: tries.may_have_run(),
        };
        let now = self.core.clock.now();
        self.core.retries.borrow_mut().withdraw(now, retry_query)
    }

    fn query<'b>(self, tries: &'b TryRecord<'_>) -> PickQuery<'b>
    where
        'a: 'b,
    {
        PickQuery {
            service: &self.request.service,
            route_hash: self.request.route.route_hash,
            target_latency: self.request.route.target_latency,
            tried: &tries.tried,
            probed: &tries.probed,
            response_bytes: self.core.response_bytes(self.request.route.route_hash),
            versions: tries.versions.filter(),
        }
    }
}
