//! Sending one try and judging its answer.

use std::{
    net::SocketAddr,
    str::FromStr,
    time::{Duration, Instant},
};

use geranium_model::{ContentDigest, RequestClass, headers};
use ureq::{
    Agent, Body, Error, RequestBuilder,
    http::{HeaderMap, Response},
};

use crate::{
    AnswerVerdict, FileCheck, TryRecord, address_resolver::address_agent, answer_check::SmallCheck,
};

/// A caller reads on this long after its deadline, since the node's answer to
/// an overdue request takes its way as well.
const GRACE: Duration = Duration::from_secs(1);

/// One try to be sent.
#[derive(Debug, Clone)]
pub(crate) struct CallTry<'a> {
    pub(crate) request: u64,
    pub(crate) request_id: String,
    pub(crate) ticket: Option<&'a str>,
    pub(crate) class: RequestClass,
    pub(crate) caller: &'a str,
    pub(crate) key: &'a str,
    pub(crate) path: &'a str,
    /// Service to ask for tickets; empty where none is needed.
    pub(crate) service: &'a str,
    /// Body of a POST; GET when absent.
    pub(crate) body: Option<&'a str>,
    pub(crate) file: Option<FileCheck>,
    pub(crate) patience: Duration,
}

/// Sends tries over kept-alive connections of its own.
#[derive(Debug)]
pub(crate) struct CallSender {
    agent: Agent,
    load_started: Instant,
}

impl CallSender {
    pub(crate) fn new(load_started: Instant) -> Self {
        Self {
            agent: address_agent(),
            load_started,
        }
    }

    /// Sends a try through `node` and reads its answer to the end.
    pub(crate) fn send(&self, node: SocketAddr, call: &CallTry<'_>) -> TryRecord {
        let started = Instant::now();
        let mut record = TryRecord {
            request: call.request,
            request_id: call.request_id.clone(),
            ticket: call.ticket.map(str::to_owned),
            class: call.class,
            caller: call.caller.to_owned(),
            node: node.to_string(),
            status: None,
            outcome: None,
            code: None,
            preset_version: None,
            sent_us: started.duration_since(self.load_started).as_micros() as u64,
            latency_us: 0,
            verdict: AnswerVerdict::Broken,
        };
        match self.call(node, call) {
            Ok(answer) => judge(answer, call, &mut record),
            Err(error) if is_unreachable(&error) => record.verdict = AnswerVerdict::Unreachable,
            Err(_) => {}
        }
        record.latency_us = started.elapsed().as_micros() as u64;
        record
    }

    /// Asks a node for an at-most-once ticket.
    pub(crate) fn ticket(
        &self,
        node: SocketAddr,
        service: &str,
        patience: Duration,
    ) -> Option<String> {
        #[derive(serde::Deserialize)]
        struct TicketAnswer {
            ticket: String,
        }
        let url = format!("http://{node}/.geranium/tickets?service={service}");
        let request = self
            .agent
            .post(url)
            .config()
            .timeout_global(Some(patience))
            .build();
        let mut answer = request.send_empty().ok()?;
        let content = answer.body_mut().read_to_vec().ok()?;
        let granted: TicketAnswer = serde_json::from_slice(&content).ok()?;
        answer.status().is_success().then_some(granted.ticket)
    }

    fn call(&self, node: SocketAddr, call: &CallTry<'_>) -> Result<Response<Body>, Error> {
        let url = format!("http://{node}{}", call.path);
        match call.body {
            Some(body) => with_head(self.agent.post(url), call).send(body),
            None => with_head(self.agent.get(url), call).call(),
        }
    }
}

fn with_head<B>(request: RequestBuilder<B>, call: &CallTry<'_>) -> RequestBuilder<B> {
    let limit = Some(call.patience + GRACE);
    let request = request
        .config()
        .timeout_global(limit)
        .build()
        .header(headers::REQUEST_ID, &call.request_id)
        .header(headers::CALLER, call.caller)
        .header(headers::FAIRNESS_KEY, call.key)
        .header(headers::DEADLINE_MS, call.patience.as_millis().to_string());
    match call.ticket {
        Some(ticket) => request.header(headers::TICKET, ticket),
        None => request,
    }
}

fn judge(mut answer: Response<Body>, call: &CallTry<'_>, record: &mut TryRecord) {
    record.status = Some(answer.status().as_u16());
    record.outcome = parsed(answer.headers(), headers::OUTCOME);
    record.code = parsed(answer.headers(), headers::RESULT_CODE);
    record.preset_version = parsed(answer.headers(), headers::PRESET_VERSION);
    if !answer.status().is_success() {
        // The body is read to its end, so that the connection can be kept.
        answer.body_mut().read_to_vec().ok();
        let refused = record.outcome == Some(geranium_model::Outcome::NotRun);
        record.verdict = if refused {
            AnswerVerdict::Refused
        } else {
            AnswerVerdict::Unknown
        };
        return;
    }
    let replayed = answer.headers().contains_key(headers::REPLAYED);
    let reader = answer.body_mut().as_reader();
    record.verdict = match call.file {
        Some(file) => file.judge(reader),
        None => SmallCheck {
            request_id: &call.request_id,
            ticket: call.ticket,
            path: call.path.split('?').next().unwrap_or_default(),
            body_digest: ContentDigest::of(call.body.unwrap_or_default()),
            replayed,
        }
        .judge(reader),
    };
}

fn parsed<T: FromStr>(head: &HeaderMap, name: &str) -> Option<T> {
    head.get(name)?.to_str().ok()?.parse().ok()
}

fn is_unreachable(error: &Error) -> bool {
    match error {
        Error::ConnectionFailed => true,
        Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
