//! The tries of one request at members.

use std::rc::Rc;

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
    node_core::NodeCore,
    response_body::ResponseBody,
    retry::RetryNeed,
};

/// A member to be asked.
#[derive(Debug, Clone)]
pub(super) struct NextTry {
    pub(super) key: MemberKey,
    pub(super) record: MemberRecord,
    may_wait: bool,
}

/// The tries of one request at members.
#[derive(Debug, Clone, Copy)]
pub(super) struct TryFlow<'a> {
    pub(super) core: &'a Rc<NodeCore>,
    pub(super) request: &'a OutboundRequest,
}

impl<'a> TryFlow<'a> {
    pub(super) const fn new(core: &'a Rc<NodeCore>, request: &'a OutboundRequest) -> Self {
        Self { core, request }
    }

    /// Asks members until one answers; nothing when the request is given up.
    pub(super) async fn answer(
        self,
        tries: &mut TryRecord<'_>,
    ) -> Option<Box<Response<ResponseBody>>> {
        loop {
            let next = self.next_try(tries)?;
            tries.begin(next.key);
            let (asked, result) = self.send_watched(next, tries).await;
            match result {
                Ok(response) => {
                    tries.under_way -= 1;
                    tries.at = Some(asked.record);
                    if let Some(response) = self.take_answer(tries, asked.key, response) {
                        return Some(response);
                    }
                }
                Err(failure) => {
                    let broke = matches!(failure, TryFailure::ResponseLost { .. });
                    self.note_failure(tries, &asked, failure);
                    tries.at = Some(asked.record);
                    if broke && !self.request.route.kind.is_idempotent() {
                        return None;
                    }
                }
            }
        }
    }

    /// Takes in an answer, and returns it unless another member is to be asked
    /// in place of a failure. The failure is kept: when the others can't do
    /// better it is the answer.
    fn take_answer(
        self,
        tries: &mut TryRecord<'_>,
        key: MemberKey,
        response: Box<Response<ResponseBody>>,
    ) -> Option<Box<Response<ResponseBody>>> {
        let failed = response.status().is_server_error();
        let now = self.core.clock.now();
        let end = TryOutcome::Answered { failed };
        self.core
            .fleet
            .borrow_mut()
            .record_try_outcome(now, key, end);
        let whole = response.body().size_hint().exact().is_some();
        if !(failed && whole && self.may_retry(tries, key)) {
            return Some(response);
        }
        tries.ran = true;
        tries.broke = Some(format!("status {}", response.status().as_u16()));
        tries.kept = Some(response);
        None
    }

    /// Sends a try, and watches whether its member lives. Returns the try that the
    /// outcome is of.
    ///
    /// When a member freezes, loses power, or its connection goes silent for good,
    /// nothing answers and nothing breaks. A member that has answered nobody here for
    /// some runs since this was sent is left by others, and a request that may run twice
    /// is sent to another one as well. The first try goes on until the second has an
    /// answer: it may be the only one to get one.
    async fn send_watched(self, next: NextTry, tries: &mut TryRecord<'_>) -> (NextTry, TryResult) {
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
        let other = if silent && self.may_double(tries) {
            self.next_try(tries)
        } else {
            None
        };
        let Some(other) = other else {
            let result = first.await;
            return (next, result);
        };
        tries.begin(other.key);
        let mut second = Box::pin(self.try_sender(&other).send(other.key, &other.record));
        select! {
            biased;
            result = &mut second => match result {
                Ok(response) => {
                    drop((first, second));
                    tries.under_way -= 1;
                    (other, Ok(response))
                }
                Err(failure) => {
                    self.note_failure(tries, &other, failure);
                    let result = first.await;
                    (next, result)
                }
            },
            result = &mut first => match result {
                Ok(response) => {
                    drop((first, second));
                    tries.under_way -= 1;
                    (next, Ok(response))
                }
                Err(failure) => {
                    self.note_failure(tries, &next, failure);
                    let result = second.await;
                    (other, result)
                }
            },
        }
    }

    fn try_sender(self, next: &NextTry) -> TrySender<'a> {
        TrySender {
            core: self.core,
            request: self.request,
            may_wait: next.may_wait,
        }
    }

    /// Whether a silent try may be doubled: it may run twice, another member
    /// has room, and the budget a further try.
    fn may_double(self, tries: &TryRecord<'_>) -> bool {
        let now = self.core.clock.now();
        let fleet = self.core.fleet.borrow();
        self.request.route.kind.is_idempotent()
            && self.has_tries(tries)
            && fleet.has_available(now, &self.query(tries))
            && self.may_run_again(fleet.len())
    }

    /// Whether a failed answer may be replaced by another try.
    fn may_retry(self, tries: &TryRecord<'_>, failed: MemberKey) -> bool {
        let early = Instant::now() < self.request.target_deadline;
        let idempotent = self.request.route.kind.is_idempotent();
        if !idempotent || !early || !self.has_tries(tries) {
            return false;
        }
        let now = self.core.clock.now();
        let fleet = self.core.fleet.borrow();
        fleet.has_healthier(now, failed, &self.query(tries)) && self.may_run_again(fleet.len())
    }

    fn has_tries(self, tries: &TryRecord<'_>) -> bool {
        tries.arrivals < self.request.route.attempts && tries.tried.len() < TRIES_MAX
    }

    /// Whether the budget has room for a request that has run, or may have.
    fn may_run_again(self, nodes: usize) -> bool {
        let need = RetryNeed {
            service: &self.request.service,
            nodes,
            runs_again: true,
        };
        let now = self.core.clock.now();
        self.core.retries.borrow().has_room(now, need)
    }

    /// Picks the next member, or none when the request is to be given up.
    fn next_try(self, tries: &mut TryRecord<'_>) -> Option<NextTry> {
        if tries.tried.len() >= TRIES_MAX || tries.crashes_servers {
            return None;
        }
        let now = self.core.clock.now();
        let query = self.query(tries);
        let fleet = self.core.fleet.borrow();
        // All members that could be asked have just reported their links as full: asking
        // again would only cost each of them a request.
        if let Some(retry_after) = fleet.link_wait(now, &query) {
            tries.refusal = Some(InboundRefusal {
                reason: RefusalReason::LinkFull,
                retry_after,
            });
            return None;
        }
        if tries.is_full() && !self.request.nested && !fleet.has_available(now, &query) {
            return None;
        }
        let rng = &mut rand::rng();
        let home = fleet.pick_in_data_centre(now, &query, rng);
        // A suspect has to wait for its turn at any inbound proxy.
        let suspect = self
            .core
            .crashes
            .borrow()
            .is_suspect(now, self.request.fingerprint);
        let probes = home.is_none()
            && !suspect
            && tries.probed.len() < PROBES_MAX
            && fleet.may_probe(&query);
        let key = match home {
            Some(home) => home,
            None if probes => fleet.pick(now, &query, rng)?,
            None => fleet.pick_queue(now, &query, rng)?,
        };
        let next = NextTry {
            key,
            record: fleet.get(key)?.record.clone(),
            may_wait: !probes,
        };
        drop(fleet);
        if tries.arrivals > 0 && !self.may_arrive_again(tries) {
            return None;
        }
        Some(next)
    }

    /// Takes a further arrival out of the budget, if it has one.
    fn may_arrive_again(self, tries: &TryRecord<'_>) -> bool {
        if tries.arrivals >= self.request.route.attempts {
            return false;
        }
        let need = RetryNeed {
            service: &self.request.service,
            nodes: self.core.fleet.borrow().len(),
            runs_again: tries.may_have_run(),
        };
        let now = self.core.clock.now();
        self.core.retries.borrow_mut().withdraw(now, need)
    }

    fn query<'b>(self, tries: &'b TryRecord<'_>) -> PickQuery<'b>
    where
        'a: 'b,
    {
        PickQuery {
            service: &self.request.service,
            route_hash: self.request.route.route_hash,
            target: self.request.route.target,
            tried: &tries.tried,
            probed: &tries.probed,
            response_bytes: self.core.response_bytes(self.request.route.route_hash),
        }
    }
}
