//! At-most-once tickets for callers.

use std::time::{Duration, Instant};

use geranium_decisions::picking::{BackendKey, PickReport, PickResult};
use geranium_model::{ResultCode, ServiceName};
use hyper::{Response, http::request::Parts};

use super::{
    attempt,
    caller_answer::{AnswerMarks, refused},
    caller_request::caller_key,
    front_state::FrontState,
    part_body::PartBody,
};
use crate::wire::{MintQuestion, PeerAnswer, PeerQuestion, Refusal};

/// Path of the tickets.
pub const TICKETS_PATH: &str = "/.geranium/tickets";
/// Time for a node to make a ticket: one hop and no work.
const MINT_TIMEOUT: Duration = Duration::from_millis(500);
/// Nodes tried for a ticket. Making one runs nothing, so any may be asked.
const MINT_TRIES: usize = 3;
/// Advice when no node could make one.
const MINT_RETRY_MS: u32 = 1_000;

/// Gets a ticket from the node beside a backend server of the service.
pub async fn mint(
    state: &FrontState,
    parts: &Parts,
    peer: std::net::SocketAddr,
    marks: &AnswerMarks,
) -> Response<PartBody> {
    let Some(service) = service_of(parts) else {
        return refused(Refusal::not_run(ResultCode::BadRequest, 0), marks);
    };
    let caller = caller_key(&parts.headers, peer);
    let mut tried: Vec<BackendKey> = Vec::new();
    let mut last = ResultCode::NoBackend;
    for _ in 0..MINT_TRIES {
        let (key, row) = match state.pick(&service, &tried) {
            Ok(picked) => picked,
            Err(code) => {
                last = code;
                break;
            }
        };
        let question = PeerQuestion::Mint(MintQuestion {
            service: service.clone(),
            caller,
        });
        let deadline = Instant::now() + MINT_TIMEOUT;
        state.sent(key);
        let started = Instant::now();
        let answer = attempt::ask(state, &row, question, deadline).await;
        let result = match &answer {
            Ok(PeerAnswer::Minted(_)) => PickResult::Answered,
            Ok(_) => PickResult::Refused {
                retry_after: Duration::ZERO,
            },
            Err(_) => PickResult::Unreachable,
        };
        state.done(
            key,
            PickReport {
                latency: started.elapsed(),
                result,
                load: None,
            },
        );
        match answer {
            Ok(PeerAnswer::Minted(ticket)) => return minted(&ticket, marks),
            Ok(PeerAnswer::Refused(refusal)) => last = refusal.code,
            Ok(_) | Err(_) => last = ResultCode::NodeUnreachable,
        }
        tried.push(key);
    }
    refused(Refusal::not_run(last, MINT_RETRY_MS), marks)
}

fn service_of(parts: &Parts) -> Option<ServiceName> {
    let query = parts.uri.query()?;
    let pair = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("service="))?;
    pair.parse().ok()
}

fn minted(ticket: &str, marks: &AnswerMarks) -> Response<PartBody> {
    let refusal = Refusal::not_run(ResultCode::Ok, 0);
    let mut response = refused(refusal, marks);
    *response.body_mut() = PartBody::whole(format!("{{\"ticket\":\"{ticket}\"}}\n"));
    response
}
