//! Answers of the stand-in.

use std::{
    fmt::Display,
    io::{self, Cursor, Read, Write},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use geranium_model::headers;
use serde::Serialize;
use serde_json::json;
use sha2::{Digest, Sha256};
use tiny_http::{Header, Request, Response, StatusCode};

use super::{
    FileDirections, RequestDirections, SeededBytes, active_run::ActiveRun,
    backend_state::BackendState, call_head::CallHead, connection_breaker::break_connection,
    run_content::RunContent,
};

/// Statuses that the stand-in answers.
const OK: u16 = 200;
const GATEWAY_TIMEOUT: u16 = 504;
const UNAVAILABLE: u16 = 503;

/// Answers JSON to a request that isn't work.
pub(super) fn answer_json(request: Request, status: u16, content: &impl Serialize) {
    let body = serde_json::to_vec(content).expect("answers are plain data");
    let mut response = Response::from_data(body).with_status_code(StatusCode(status));
    response.add_header(header("content-type", "application/json"));
    request
        .respond(response.with_chunked_threshold(usize::MAX))
        .ok();
}

/// Refuses a request as not run.
pub(super) fn answer_shed(request: Request, state: &BackendState) {
    let response = Response::from_data(Vec::new())
        .with_status_code(StatusCode(UNAVAILABLE))
        .with_header(header(headers::BACKEND_OUTCOME, "not-run"))
        .with_header(header(headers::BACKEND_LOAD, state.reported_load()));
    request.respond(response).ok();
}

/// Answers a run that was given up.
pub(super) fn answer_given_up(request: Request, state: &BackendState) {
    let response = Response::from_data(Vec::new())
        .with_status_code(StatusCode(GATEWAY_TIMEOUT))
        .with_header(header(headers::BACKEND_LOAD, state.reported_load()));
    request.respond(response).ok();
}

/// Answers a run that was done to the end.
pub(super) fn answer_run(
    request: Request,
    state: &BackendState,
    call: &CallHead,
    directions: &RequestDirections,
    active: ActiveRun<'_>,
) {
    let (head, body) = answer_parts(request.method().as_str(), state, call, directions);
    let (content, bytes): (Box<dyn Read + Send>, u64) = match body {
        AnswerBody::Small(body) => (Box::new(Cursor::new(body.clone())), body.len() as u64),
        AnswerBody::File(file) => (Box::new(file.content()), file.bytes),
    };
    if directions.die_mid_body {
        answer_half(request, &head, content, bytes);
        return;
    }
    let peer = request.remote_addr().copied();
    let content = RunContent::new(content, bytes, active);
    let response = Response::new(StatusCode(OK), head, content, Some(bytes as usize), None);
    let sent = request.respond(response.with_chunked_threshold(usize::MAX));
    if let (Err(_), Some(peer)) = (sent, peer) {
        break_connection(peer);
    }
}

enum AnswerBody {
    Small(Vec<u8>),
    File(FileDirections),
}

fn answer_parts(
    method: &str,
    state: &BackendState,
    call: &CallHead,
    directions: &RequestDirections,
) -> (Vec<Header>, AnswerBody) {
    let mut head = vec![
        header(headers::REQUEST_ID, &call.request_id),
        header(headers::BACKEND_LOAD, state.reported_load()),
    ];
    if let Some(file) = directions.file {
        head.push(header("content-type", "application/octet-stream"));
        head.push(header("content-digest", content_digest(file.content())));
        return (head, AnswerBody::File(file));
    }
    head.push(header("content-type", "application/json"));
    let content = json!({
        "request_id": call.request_id,
        "ticket": call.ticket,
        "method": method,
        "path": directions.path,
        "body_digest": call.body_digest,
        "service": state.options.service,
        "instance": state.options.instance,
    });
    (head, AnswerBody::Small(content.to_string().into_bytes()))
}

/// Sends the head and half of the body, and closes the connection.
fn answer_half(request: Request, head: &[Header], content: impl Read, bytes: u64) {
    let peer = request.remote_addr().copied();
    // A client that has left meanwhile gets nothing, as it asked for.
    write_half(&mut request.into_writer(), head, content, bytes).ok();
    if let Some(peer) = peer {
        break_connection(peer);
    }
}

fn write_half(
    writer: &mut impl Write,
    head: &[Header],
    content: impl Read,
    bytes: u64,
) -> io::Result<()> {
    write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {bytes}\r\n")?;
    for line in head {
        write!(writer, "{}: {}\r\n", line.field, line.value)?;
    }
    write!(writer, "\r\n")?;
    io::copy(&mut content.take(bytes / 2), writer)?;
    writer.flush()
}

/// Returns a `content-digest` value (RFC 9530) of the whole content.
fn content_digest(mut content: SeededBytes) -> String {
    let mut hasher = Sha256::new();
    io::copy(&mut content, &mut hasher).expect("made content can't fail");
    format!("sha-256=:{}:", STANDARD.encode(hasher.finalize()))
}

fn header(name: &str, value: impl Display) -> Header {
    Header::from_bytes(name, value.to_string()).expect("names and values are plain ASCII")
}
