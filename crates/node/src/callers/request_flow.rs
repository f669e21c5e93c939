//! A caller's request from its arrival to its final answer.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use geranium_decisions::{
    once::{OnceTicket, RoutingDecision, TicketHistory, TicketRouting},
    picking::BackendKey,
    poison::fingerprint,
    retry::{HopDeadline, RetryCase, RetryDecision, RetryRule},
};
use geranium_model::{MemberRow, Outcome, PresetVersion, ResultCode, headers};
use hyper::{Request, Response, body::Incoming, http::request::Parts};

use super::{
    attempt,
    caller_answer::{AnswerMarks, passed_on, refused},
    caller_body::{BodyLimits, CallerBody},
    caller_request::{CallerRequest, named_request_id},
    front_state::FrontState,
    part_body::PartBody,
    stream_fetch,
    ticket_flow::{self, TICKETS_PATH},
    try_end::{PendingReport, TryEnd, UNREACHABLE_RETRY_MS, of_all_tries, unsure},
};
use crate::wire::{PeerQuestion, PeerRequest, Refusal};

/// Advice while the node has no preset yet; it usually has one in a second.
const NOT_READY_RETRY_MS: u32 = 1_000;
/// Advice after a body was refused for lack of room.
const BODY_RETRY_MS: u32 = 1_000;
/// Least time worth a retry: a try that can't be answered in it only adds load.
const RETRY_TIME_MIN: Duration = Duration::from_millis(10);

/// Leaving servers that one request may meet: a rack that is replaced in one go
/// has fewer instances of one service.
const REDIRECTS_MAX: usize = 8;

/// Answers one request.
pub async fn answer(
    state: Rc<FrontState>,
    limits: BodyLimits,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<PartBody> {
    state.absorb_events();
    let (parts, incoming) = request.into_parts();
    let mut marks = AnswerMarks {
        request_id: String::new(),
        version: PresetVersion::NONE,
        served_by: None,
        leaving: state.is_leaving(),
    };
    let Some((version, preset)) = state.preset() else {
        return refuse_here(&parts, ResultCode::NotReady, NOT_READY_RETRY_MS, &marks);
    };
    marks.version = version;
    if parts.uri.path() == TICKETS_PATH {
        return ticket_flow::mint(&state, &parts, peer, &marks).await;
    }
    marks.request_id = named_request_id(&parts.headers);
    let request = match CallerRequest::check(&parts, &preset, peer) {
        Ok(request) => request,
        Err(code) => return refuse_here(&parts, code, 0, &marks),
    };
    marks.request_id.clone_from(&request.request_id);
    let body = match CallerBody::read(&parts, incoming, limits, &state.bodies).await {
        Ok(body) => body,
        Err(code) => return refuse_here(&parts, code, BODY_RETRY_MS, &marks),
    };
    let flow = RequestFlow {
        state: &state,
        request: &request,
        version,
    };
    let response = flow.run(&body.bytes, &mut marks).await;
    record(&state, &request, &response);
    response
}

/// Refuses a request before it was sent anywhere.
///
/// With a ticket the outcome stays open: another copy may have run before.
fn refuse_here(
    parts: &Parts,
    code: ResultCode,
    retry_after_ms: u32,
    marks: &AnswerMarks,
) -> Response<PartBody> {
    let has_ticket = parts.headers.contains_key(headers::TICKET);
    let outcome = if has_ticket {
        Outcome::MaybeRun
    } else {
        Outcome::NotRun
    };
    refused(
        Refusal {
            code,
            outcome,
            retry_after_ms,
        },
        marks,
    )
}

fn record(state: &FrontState, request: &CallerRequest, response: &Response<PartBody>) {
    let header = |name: &str| response.headers().get(name)?.to_str().ok();
    let outcome = header(headers::OUTCOME).and_then(|text| text.parse().ok());
    let code =
        header(headers::RESULT_CODE).and_then(|text| ResultCode::from_repr(text.parse().ok()?));
    state.metrics.request(
        &request.service,
        request.class,
        code.unwrap_or(ResultCode::Ok),
        outcome.unwrap_or(Outcome::MaybeRun),
        response.status().as_u16(),
        request.arrived.elapsed(),
    );
}

struct RequestFlow<'a> {
    state: &'a Rc<FrontState>,
    request: &'a CallerRequest,
    version: PresetVersion,
}

impl RequestFlow<'_> {
    async fn run(&self, body: &Bytes, marks: &mut AnswerMarks) -> Response<PartBody> {
        match &self.request.ticket {
            Some(ticket) => self.run_once(ticket, body, marks).await,
            None => self.run_repeatable(body, marks).await,
        }
    }

    /// Sends a request with a ticket to the one node that may run it.
    async fn run_once(
        &self,
        text: &str,
        body: &Bytes,
        marks: &mut AnswerMarks,
    ) -> Response<PartBody> {
        let Ok(ticket) = text.parse::<OnceTicket>() else {
            return refused(Refusal::not_run(ResultCode::BadTicket, 0), marks);
        };
        let row = self.state.member(&ticket.owner().instance);
        let service = &self.request.service;
        let history = TicketHistory::Unknown;
        let decision = TicketRouting.decide(&ticket, service, row.as_ref(), history);
        let (code, outcome, retry_after_ms) = match decision {
            RoutingDecision::Send => (ResultCode::Ok, Outcome::MaybeRun, 0),
            RoutingDecision::Final { code, outcome } => (code, outcome, 0),
            RoutingDecision::AskAgain { code, outcome } => (code, outcome, UNREACHABLE_RETRY_MS),
        };
        let (RoutingDecision::Send, Some(target)) = (decision, row) else {
            return refused(
                Refusal {
                    code,
                    outcome,
                    retry_after_ms,
                },
                marks,
            );
        };
        let key = self.state.key_of(&target.instance);
        self.state.metrics.attempt(false);
        let end = match self.try_at(key, &target, body, marks).await {
            TryEnd::Refused(refusal) => TryEnd::Refused(unsure(refusal)),
            answered @ TryEnd::Answered(..) => answered,
        };
        self.finish(end, &target, marks)
    }

    async fn run_repeatable(&self, body: &Bytes, marks: &mut AnswerMarks) -> Response<PartBody> {
        let mut tried: Vec<BackendKey> = Vec::new();
        let mut may_have_run = false;
        loop {
            let picked = self.state.pick(&self.request.service, &tried);
            let (key, target) = match picked {
                Ok(picked) => picked,
                Err(code) => {
                    let refusal = Refusal::not_run(code, UNREACHABLE_RETRY_MS);
                    return refused(of_all_tries(refusal, may_have_run), marks);
                }
            };
            self.state.metrics.attempt(!tried.is_empty());
            let end = self.try_at(Some(key), &target, body, marks).await;
            let refusal = match &end {
                TryEnd::Refused(refusal) => *refusal,
                TryEnd::Answered(..) => return self.finish(end, &target, marks),
            };
            may_have_run |= refusal.outcome != Outcome::NotRun;
            tried.push(key);
            if refusal.code == ResultCode::Draining && tried.len() < REDIRECTS_MAX {
                // A leaving server's refusal isn't a sign of load: the request
                // goes to the next at once, outside the retry budget and at
                // any depth, or a shutdown would show as errors.
                continue;
            }
            match self.retry(refusal, &tried) {
                Some(after) => tokio::time::sleep(after).await,
                None => return refused(of_all_tries(refusal, may_have_run), marks),
            }
        }
    }

    fn retry(&self, refusal: Refusal, tries: &[BackendKey]) -> Option<Duration> {
        let expected = RETRY_TIME_MIN;
        let case = RetryCase {
            outcome: refusal.outcome,
            idempotent: self.request.is_idempotent(),
            hops: self.request.hops - 1,
            tries: tries.len() as u8,
            // A request that was running when its backend server broke may be
            // what broke it: sent on, it would take the next one down.
            suspect: refusal.code == ResultCode::BackendBroke,
            untried: self.state.pick(&self.request.service, tries).is_ok(),
            left: self
                .request
                .deadline
                .saturating_duration_since(Instant::now()),
            expected,
        };
        let decision = self
            .state
            .with_budget(&self.request.service, |budget, rng| {
                RetryRule.decide(&case, budget, rng)
            })?;
        match decision {
            RetryDecision::Retry { after } => Some(after),
            RetryDecision::Final => None,
        }
    }

    async fn try_at(
        &self,
        key: Option<BackendKey>,
        target: &MemberRow,
        body: &Bytes,
        marks: &mut AnswerMarks,
    ) -> TryEnd {
        marks.served_by = Some(target.instance.to_string());
        let left = self
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        let Some(next) = HopDeadline::new(left).next_hop(Duration::ZERO) else {
            return TryEnd::Refused(Refusal::not_run(ResultCode::DeadlineBeforeRun, 0));
        };
        let left = next.left();
        let question = PeerQuestion::Run(Box::new(self.peer_request(left, body)));
        let report = PendingReport::begin(self.state, key);
        let deadline = Instant::now() + left;
        let end = TryEnd::of(attempt::ask(self.state, target, question, deadline).await);
        report.end(&end, self.request.patient);
        if matches!(end, TryEnd::Answered(..)) {
            self.state
                .with_budget(&self.request.service, |budget, _| budget.succeeded());
        }
        end
    }

    fn peer_request(&self, left: Duration, body: &Bytes) -> PeerRequest {
        let request = self.request;
        let ticket = request.ticket.as_deref();
        PeerRequest {
            request_id: request.request_id.clone(),
            from: self.state.own.clone(),
            version: self.version,
            service: request.service.clone(),
            class: request.class,
            deadline_ms: left.as_millis() as u32,
            hops: request.hops,
            caller: request.caller,
            key: request.key,
            ticket: request.ticket.clone(),
            fingerprint: fingerprint(request.method.as_str(), &request.path, ticket, body),
            method: request.method.as_str().to_owned(),
            path: request.path.clone(),
            headers: request.headers.clone(),
            body: body.to_vec(),
        }
    }

    fn finish(&self, end: TryEnd, target: &MemberRow, marks: &AnswerMarks) -> Response<PartBody> {
        match end {
            TryEnd::Refused(refusal) => refused(refusal, marks),
            TryEnd::Answered(head, part) => {
                let body = stream_fetch::body(self.state, target, &head, part);
                match body {
                    Some(body) => passed_on(&head, body, marks),
                    None => refused(Refusal::maybe_run(ResultCode::AnswerBroken), marks),
                }
            }
        }
    }
}
