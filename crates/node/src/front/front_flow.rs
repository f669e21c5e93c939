//! The path of a caller's request.

use std::{rc::Rc, time::Duration};

use crate::result_code::ResultCode;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use tokio::{
    select,
    time::{Instant, timeout, timeout_at},
};

use super::{
    AttemptEnd, AttemptFlow, FrontAnswer, FrontRequest,
    attempt::path_only,
    caller_input::{host_of, read_body},
    try_record::{RETRY_MIN, TRIES_MAX, TryRecord, final_answer},
};
use crate::{
    answer_body::AnswerBody,
    crash::request_print,
    door::{DoorRefusal, RefusalReason},
    header_set::{strip_connection, strip_hop},
    member::{MemberKey, MemberRecord, PickQuery, TryEnd},
    node_core::NodeCore,
    retry::RetryNeed,
};

/// Advice before the first configuration: it is read within a fraction of a
/// second once the store answers.
const RETRY_NOT_READY: Duration = Duration::from_millis(200);
/// Advice while stopping: the process ends and is back within a second or so.
const RETRY_STOPPING: Duration = Duration::from_millis(250);
/// Time before the caller's own end at which it gets a final answer: the way
/// back takes a millisecond, a busy machine a few more.
const ANSWER_MARGIN: Duration = Duration::from_millis(8);

/// The path of a caller's request.
#[derive(Debug, Clone)]
pub struct FrontFlow {
    core: Rc<NodeCore>,
}

impl FrontFlow {
    /// Makes the path for the callers of a node.
    pub const fn new(core: Rc<NodeCore>) -> Self {
        Self { core }
    }

    /// Answers a request.
    pub async fn answer(&self, incoming: Request<Incoming>) -> Response<AnswerBody> {
        let arrived = Instant::now();
        let id = incoming
            .headers()
            .get(&self.core.headers.request_id)
            .cloned();
        let mut response = match self.receive(incoming, arrived).await {
            Ok(request) => self.serve(&request).await,
            Err(answer) => {
                self.core.note_answer(id.as_ref(), &answer);
                answer.into_response()
            }
        };
        if let Some(id) = id {
            let headers = response.headers_mut();
            headers.entry(&self.core.headers.request_id).or_insert(id);
        }
        if self.core.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Reads and routes a request.
    async fn receive(
        &self,
        incoming: Request<Incoming>,
        arrived: Instant,
    ) -> Result<FrontRequest, FrontAnswer> {
        if self.core.refuses_callers() {
            return Err(FrontAnswer::not_run(ResultCode::Draining, RETRY_STOPPING));
        }
        let (mut head, body) = incoming.into_parts();
        let config = self.core.config.borrow().clone();
        let config = config.ok_or(FrontAnswer::not_run(ResultCode::NotReady, RETRY_NOT_READY))?;
        let route = host_of(&head).and_then(|host| config.route(&host, head.uri.path()).cloned());
        let no_route = FrontAnswer::rejected(ResultCode::NoRoute, StatusCode::NOT_FOUND);
        let route = route.ok_or(no_route)?;
        let deadline = self.deadline_of(&head.headers);
        let ends_at = match deadline {
            Some(deadline) => arrived + deadline.saturating_sub(ANSWER_MARGIN).min(route.timeout),
            None => arrived + route.timeout,
        };
        let body = read_body(body, &config, ends_at).await?;
        strip_connection(&mut head.headers);
        strip_hop(&mut head.headers);
        head.headers.insert(
            &self.core.headers.caller_service,
            self.core.caller_service(),
        );
        let id = head.headers.get(&self.core.headers.request_id);
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let print = request_print(&head.method, &head.uri, &head.headers, &body);
        self.check_print(print)?;
        let service = route.shares.draw();
        Ok(FrontRequest {
            id: id.into(),
            method: head.method,
            uri: path_only(&head.uri),
            headers: head.headers,
            body,
            print,
            useful_until: arrived + route.target,
            route,
            service,
            version: config.version,
            arrived,
            ends_at,
        })
    }

    /// Refuses a request that has crashed backend servers.
    fn check_print(&self, print: u64) -> Result<(), FrontAnswer> {
        let now = self.core.clock.now();
        let refusal = self.core.crashes.borrow().refusal(now, print);
        refusal.map_or(Ok(()), |retry_after| {
            Err(FrontAnswer::not_run(ResultCode::Poisoned, retry_after))
        })
    }

    async fn serve(&self, request: &FrontRequest) -> Response<AnswerBody> {
        self.core
            .retries
            .borrow_mut()
            .requested(self.core.clock.now(), &request.service);
        let mut tries = TryRecord::new(&self.core, request);
        let served = timeout_at(request.ends_at, self.try_members(request, &mut tries)).await;
        tries.settled = true;
        let answer = match served {
            Ok(Ok(response)) => {
                self.core
                    .note_served(request, &response, tries.at.as_ref(), tries.tried.len());
                return response;
            }
            Ok(Err(answer)) => answer,
            Err(_elapsed) if tries.arrivals == 0 && !tries.maybe_run => {
                FrontAnswer::not_run(ResultCode::DeadlineBeforeRun, RETRY_MIN)
            }
            Err(_elapsed) => FrontAnswer::timed_out(),
        };
        self.core
            .note_failed(request, &answer, tries.tried.len(), tries.broke.as_deref());
        answer.into_response()
    }

    async fn try_members(
        &self,
        request: &FrontRequest,
        tries: &mut TryRecord<'_>,
    ) -> Result<Response<AnswerBody>, FrontAnswer> {
        loop {
            let Some((key, record)) = self.next_member(request, tries) else {
                return Err(final_answer(tries));
            };
            tries.tried.push(key);
            // Until the try ends otherwise, it may have come to the backend
            // server: a timeout in the middle must not promise the contrary.
            tries.maybe_run = true;
            let arrivals = tries.arrivals;
            tries.arrivals += 1;
            let flow = AttemptFlow {
                core: &self.core,
                request,
            };
            let (key, record, end) = self.send_watched(flow, key, record, tries).await;
            let ran_before = tries.broke.is_some();
            let record = &*tries.at.insert(record);
            let now = self.core.clock.now();
            let mut fleet = self.core.fleet.borrow_mut();
            match end {
                AttemptEnd::Answered(response) => {
                    let failed = response.status().is_server_error();
                    fleet.judged(now, key, TryEnd::Answered { failed });
                    drop(fleet);
                    if failed && self.may_retry(request, tries, key) {
                        tries.broke = Some(format!("status {}", response.status().as_u16()));
                        continue;
                    }
                    return Ok(*response);
                }
                AttemptEnd::Refused(refusal) => {
                    let retry_after = refusal.retry_after;
                    let end = match refusal.reason {
                        RefusalReason::LinkFull => TryEnd::LinkRefused { retry_after },
                        _ => TryEnd::Refused { retry_after },
                    };
                    fleet.judged(now, key, end);
                    drop(fleet);
                    tries.maybe_run = ran_before;
                    if !refusal.reason.reached_endpoint() {
                        tries.arrivals = arrivals;
                    }
                    tries.refusal = Some(refusal);
                    self.core.note_refusal(request, record, &refusal);
                }
                AttemptEnd::Unreachable(reason) => {
                    fleet.judged(now, key, TryEnd::Unreachable);
                    drop(fleet);
                    tries.maybe_run = ran_before;
                    tries.arrivals = arrivals;
                    self.core.note_unreachable(request, record, &reason);
                }
                AttemptEnd::Broke(reason) => {
                    fleet.judged(now, key, TryEnd::Broke);
                    drop(fleet);
                    self.core.note_broke(request, record, &reason);
                    tries.broke = Some(reason);
                    if !request.route.kind.is_idempotent() {
                        return Err(final_answer(tries));
                    }
                }
            }
        }
    }

    /// Sends a try, and watches whether its member lives. Returns the member
    /// that the outcome is of.
    ///
    /// **Failure.** A member freezes, loses power, or its connection goes
    /// silent for good: nothing answers and nothing breaks, and whoever sends
    /// to it waits until the end. **Guard.** A member that has answered nobody
    /// here for some runs since this was sent is left by others; a request
    /// that may run twice is sent to another one as well. The first try goes
    /// on until the second has an answer: it may be the only one to get one.
    async fn send_watched(
        &self,
        flow: AttemptFlow<'_>,
        key: MemberKey,
        record: MemberRecord,
        tries: &mut TryRecord<'_>,
    ) -> (MemberKey, MemberRecord, AttemptEnd) {
        let request = flow.request;
        let sent_at = self.core.clock.now();
        let patience = self.core.fleet.borrow().patience(sent_at, key);
        let mut first = Box::pin(flow.send(key, &record));
        if let Ok(end) = timeout(patience, &mut first).await {
            drop(first);
            return (key, record, end);
        }
        let silent = self.core.fleet.borrow().is_silent(key, sent_at);
        if silent {
            let now = self.core.clock.now();
            self.core
                .fleet
                .borrow_mut()
                .judged(now, key, TryEnd::Silent);
            self.core.note_silent(request, &record, patience);
        }
        let doubled =
            silent && request.route.kind.is_idempotent() && self.has_other(request, tries);
        let other = if doubled {
            self.next_member(request, tries)
        } else {
            None
        };
        let Some((other_key, other_record)) = other else {
            let end = first.await;
            return (key, record, end);
        };
        tries.tried.push(other_key);
        tries.arrivals += 1;
        let mut second = Box::pin(flow.send(other_key, &other_record));
        select! {
            biased;
            end = &mut second => {
                if matches!(end, AttemptEnd::Answered(_)) {
                    drop((first, second));
                    return (other_key, other_record, end);
                }
                self.note_lost_try(tries, other_key, end);
                let end = first.await;
                (key, record, end)
            }
            end = &mut first => {
                if matches!(end, AttemptEnd::Answered(_)) {
                    drop((first, second));
                    return (key, record, end);
                }
                self.note_lost_try(tries, key, end);
                let end = second.await;
                (other_key, other_record, end)
            }
        }
    }

    /// Takes in how one of two tries ended without an answer.
    fn note_lost_try(&self, tries: &mut TryRecord<'_>, key: MemberKey, end: AttemptEnd) {
        let now = self.core.clock.now();
        let mut fleet = self.core.fleet.borrow_mut();
        match end {
            AttemptEnd::Refused(refusal) => {
                let retry_after = refusal.retry_after;
                fleet.judged(now, key, TryEnd::Refused { retry_after });
            }
            AttemptEnd::Unreachable(_) => fleet.judged(now, key, TryEnd::Unreachable),
            AttemptEnd::Broke(reason) => {
                fleet.judged(now, key, TryEnd::Broke);
                tries.broke = Some(reason);
            }
            AttemptEnd::Answered(_) => {}
        }
    }

    /// Whether another member has room, and the budget a further try.
    fn has_other(&self, request: &FrontRequest, tries: &TryRecord<'_>) -> bool {
        let now = self.core.clock.now();
        let fleet = self.core.fleet.borrow();
        let retries = self.core.retries.borrow();
        let left = tries.arrivals < request.route.attempts && tries.tried.len() < TRIES_MAX;
        left && fleet.has_open(now, &self.query(request, tries))
            && retries.has_room(now, &request.service, fleet.len())
    }

    /// Picks the next member, or none when the request is to be given up.
    fn next_member(
        &self,
        request: &FrontRequest,
        tries: &mut TryRecord<'_>,
    ) -> Option<(MemberKey, MemberRecord)> {
        let first = tries.tried.is_empty();
        if tries.tried.len() >= TRIES_MAX {
            return None;
        }
        let now = self.core.clock.now();
        let query = self.query(request, tries);
        let fleet = self.core.fleet.borrow();
        if let Some(retry_after) = fleet.link_wait(now, &query) {
            // Every link is spoken for, as the doors told a moment ago: asking
            // them again would cost each of them a request and change nothing.
            let reason = RefusalReason::LinkFull;
            tries.refusal = Some(DoorRefusal {
                reason,
                retry_after,
            });
            return None;
        }
        if !first && !fleet.has_open(now, &query) {
            return None;
        }
        let key = fleet.pick(now, &query, &mut rand::rng())?;
        let record = fleet.get(key)?.record.clone();
        drop(fleet);
        if tries.arrivals > 0 && !self.may_arrive_again(request, tries.arrivals) {
            return None;
        }
        Some((key, record))
    }

    /// Whether a failed answer may be replaced by another try.
    fn may_retry(&self, request: &FrontRequest, tries: &TryRecord<'_>, failed: MemberKey) -> bool {
        let early = Instant::now() < request.useful_until;
        let left = tries.arrivals < request.route.attempts && tries.tried.len() < TRIES_MAX;
        if !request.route.kind.is_idempotent() || !early || !left {
            return false;
        }
        let now = self.core.clock.now();
        let fleet = self.core.fleet.borrow();
        let query = self.query(request, tries);
        let retries = self.core.retries.borrow();
        fleet.has_healthier(now, failed, &query)
            && retries.has_room(now, &request.service, fleet.len())
    }

    fn query<'a>(&self, request: &'a FrontRequest, tries: &'a TryRecord<'_>) -> PickQuery<'a> {
        PickQuery {
            service: &request.service,
            tried: &tries.tried,
            answer_bytes: self.core.answer_bytes(request.route.class),
        }
    }

    fn may_arrive_again(&self, request: &FrontRequest, arrivals: u32) -> bool {
        if arrivals >= request.route.attempts {
            return false;
        }
        let need = RetryNeed {
            service: &request.service,
            nodes: self.core.fleet.borrow().len(),
        };
        let now = self.core.clock.now();
        self.core.retries.borrow_mut().withdraw(now, need)
    }

    fn deadline_of(&self, headers: &HeaderMap) -> Option<Duration> {
        let value = headers.get(&self.core.headers.deadline_ms)?;
        let millis: f64 = value.to_str().ok()?.trim().parse().ok()?;
        Duration::try_from_secs_f64(millis / 1_000.0).ok()
    }
}
