//! The thread that answers on the admin port.

use std::{
    io::Read,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicBool, atomic::Ordering},
    thread::{self, JoinHandle},
};

use crossbeam::channel::Sender;
use geranium_model::ResultCode;
use slog::{Logger, info, warn};
use socket2::{Domain, Socket, Type};
use tiny_http::{Header, Method, Request, Response, Server};

use super::{Announcement, RawAnnouncement, StatusCell};
use crate::{control::ControlEvent, metrics::NodeMetrics};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 64;
/// Largest announcement in bytes; real ones have some two hundred.
const BODY_BYTES_MAX: u64 = 16_384;

/// What the admin port needs.
#[derive(Debug)]
pub struct AdminParts {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Ring of the control thread.
    pub control: Sender<ControlEvent>,
    /// Newest status.
    pub status: Arc<StatusCell>,
    /// Metrics.
    pub metrics: Arc<NodeMetrics>,
    /// Log.
    pub log: Logger,
    /// Set when an operator asked the whole node to drain.
    pub drain: Arc<AtomicBool>,
}

/// A running admin port.
pub struct AdminPort {
    server: Arc<Server>,
    thread: JoinHandle<()>,
}

impl std::fmt::Debug for AdminPort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("AdminPort")
    }
}

impl AdminPort {
    /// Listens and starts the thread.
    ///
    /// # Errors
    ///
    /// When the address can't be listened on.
    pub fn start(parts: AdminParts) -> std::io::Result<Self> {
        let socket = Socket::new(Domain::for_address(parts.addr), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        // Accepted connections inherit it: a kept-alive connection otherwise
        // waits 40 ms for the peer's delayed acknowledgement.
        socket.set_tcp_nodelay(true)?;
        socket.bind(&parts.addr.into())?;
        socket.listen(BACKLOG)?;
        let listener: std::net::TcpListener = socket.into();
        let server = Server::from_listener(listener, None)
            .map_err(|error| std::io::Error::other(error.to_string()))?;
        let server = Arc::new(server);
        let source = Arc::clone(&server);
        let thread = thread::Builder::new()
            .name("admin".to_owned())
            .spawn(move || {
                for request in source.incoming_requests() {
                    answer(&parts, request);
                }
            })?;
        Ok(Self { server, thread })
    }

    /// Stops answering.
    pub fn stop(self) {
        self.server.unblock();
        let _ = self.thread.join();
    }
}

fn answer(parts: &AdminParts, mut request: Request) {
    let path = request
        .url()
        .split('?')
        .next()
        .unwrap_or_default()
        .to_owned();
    let response = match (request.method(), path.as_str()) {
        (Method::Get, "/status") => json(parts.status.report_json()),
        (Method::Get, "/members") => json(parts.status.members_json()),
        (Method::Get, "/preset") => match parts.status.preset_json() {
            Some(page) => json(page),
            None => fault(503, ResultCode::NotReady, "no preset is in force yet"),
        },
        (Method::Get, "/metrics") => {
            Response::from_data(parts.metrics.text()).with_header(header("text/plain"))
        }
        (Method::Post, "/announce") => announce(parts, &mut request),
        (Method::Post, "/drain") => {
            info!(parts.log, "an operator asked to drain");
            parts.drain.store(true, Ordering::Release);
            json(b"{\"draining\":true}\n".to_vec())
        }
        _ => fault(404, ResultCode::BadRequest, "no such page"),
    };
    // The asker may have left; nothing is owed to it then.
    let _ = request.respond(response);
}

type Page = Response<std::io::Cursor<Vec<u8>>>;

fn announce(parts: &AdminParts, request: &mut Request) -> Page {
    let mut text = Vec::new();
    let read = request
        .as_reader()
        .take(BODY_BYTES_MAX)
        .read_to_end(&mut text);
    if let Err(error) = read {
        return fault(400, ResultCode::BadRequest, &error.to_string());
    }
    let raw: RawAnnouncement = match serde_json::from_slice(&text) {
        Ok(raw) => raw,
        Err(error) => return fault(400, ResultCode::BadRequest, &error.to_string()),
    };
    match Announcement::try_from(raw) {
        Ok(announcement) => {
            let sent = parts
                .control
                .try_send(ControlEvent::Announced(announcement));
            if sent.is_err() {
                return fault(503, ResultCode::QueueFull, "the control thread is busy");
            }
            json(b"{}\n".to_vec())
        }
        Err(error) => {
            warn!(parts.log, "announcement refused"; "reason" => %error);
            fault(400, ResultCode::BadRequest, &error.to_string())
        }
    }
}

fn json(body: Vec<u8>) -> Page {
    Response::from_data(body).with_header(header("application/json"))
}

fn fault(status: u16, code: ResultCode, reason: &str) -> Page {
    let body =
        serde_json::json!({"code": code.number(), "name": code.to_string(), "reason": reason});
    json(body.to_string().into_bytes()).with_status_code(status)
}

fn header(content_type: &str) -> Header {
    Header::from_bytes("content-type", content_type).expect("a constant header is well-formed")
}
