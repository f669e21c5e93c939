//! The thread that answers on the admin port.

use std::{
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use bytes::Bytes;
use crossbeam::channel::Sender;
use geranium_model::ResultCode;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE,
    server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{Logger, info, warn};
use tokio::{net::TcpListener, sync::watch, task::LocalSet};

use super::{Announcement, RawAnnouncement, StatusCell};
use crate::{bound_socket::BoundSocket, control::ControlEvent, metrics::NodeMetrics};

/// Largest announcement in bytes; real ones have some two hundred.
const BODY_BYTES_MAX: usize = 16_384;
/// Time for a request's head to arrive, also on an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for an announcement to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
///
/// It isn't served by `tiny_http`: of a burst of connections that library
/// leaves some unserved until another closes, and an announcement left waiting
/// has its backend server taken for lost.
#[derive(Debug)]
pub struct AdminPort {
    stop: watch::Sender<bool>,
    thread: JoinHandle<()>,
}

impl AdminPort {
    /// Listens and starts the thread.
    ///
    /// # Errors
    ///
    /// When the address can't be listened on.
    pub fn start(parts: AdminParts) -> std::io::Result<Self> {
        let socket = BoundSocket::bind(parts.addr)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let listener = {
            let _context = runtime.enter();
            socket.listen()?
        };
        let (stop, stopped) = watch::channel(false);
        let thread = thread::Builder::new()
            .name("admin".to_owned())
            .spawn(move || {
                let local = LocalSet::new();
                local.block_on(&runtime, serve(Rc::new(parts), listener, stopped));
            })?;
        Ok(Self { stop, thread })
    }

    /// Stops answering.
    pub fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.thread.join();
    }
}

async fn serve(parts: Rc<AdminParts>, listener: TcpListener, mut stopped: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let parts = Rc::clone(&parts);
        let handler = service_fn(move |request: Request<Incoming>| {
            let parts = Rc::clone(&parts);
            async move { Ok::<_, Infallible>(answer(&parts, request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), handler);
        // A connection that the asker spoils ends by itself.
        tokio::task::spawn_local(async move { connection.await.ok() });
    }
}

type Page = Response<Full<Bytes>>;

async fn answer(parts: &AdminParts, request: Request<Incoming>) -> Page {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/status") => json(parts.status.report_json()),
        (Method::GET, "/members") => json(parts.status.members_json()),
        (Method::GET, "/preset") => match parts.status.preset_json() {
            Some(page) => json(page),
            None => fault(
                StatusCode::SERVICE_UNAVAILABLE,
                ResultCode::NotReady,
                "no preset is in force yet",
            ),
        },
        (Method::GET, "/metrics") => page(parts.metrics.text(), "text/plain"),
        (Method::POST, "/announce") => announce(parts, request.into_body()).await,
        (Method::POST, "/drain") => {
            info!(parts.log, "an operator asked to drain");
            parts.drain.store(true, Ordering::Release);
            json(b"{\"draining\":true}\n".to_vec())
        }
        _ => fault(
            StatusCode::NOT_FOUND,
            ResultCode::BadRequest,
            "no such page",
        ),
    }
}

async fn announce(parts: &AdminParts, body: Incoming) -> Page {
    let refuse = |reason: &str| {
        warn!(parts.log, "announcement refused"; "reason" => reason);
        fault(StatusCode::BAD_REQUEST, ResultCode::BadRequest, reason)
    };
    let body = Limited::new(body, BODY_BYTES_MAX).collect();
    let text = match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return refuse(&error.to_string()),
        Err(_elapsed) => return refuse("the announcement came too slowly"),
    };
    let announcement = serde_json::from_slice::<RawAnnouncement>(&text)
        .map_err(|error| error.to_string())
        .and_then(|raw| Announcement::try_from(raw).map_err(|error| error.to_string()));
    let announcement = match announcement {
        Ok(announcement) => announcement,
        Err(reason) => return refuse(&reason),
    };
    match parts
        .control
        .try_send(ControlEvent::Announced(announcement))
    {
        Ok(()) => json(b"{}\n".to_vec()),
        Err(_full) => fault(
            StatusCode::SERVICE_UNAVAILABLE,
            ResultCode::QueueFull,
            "the control thread is busy",
        ),
    }
}

fn json(body: Vec<u8>) -> Page {
    page(body, "application/json")
}

fn page(body: Vec<u8>, content_type: &'static str) -> Page {
    let mut page = Response::new(Full::new(Bytes::from(body)));
    let value = hyper::header::HeaderValue::from_static(content_type);
    page.headers_mut().insert(CONTENT_TYPE, value);
    page
}

fn fault(status: StatusCode, code: ResultCode, reason: &str) -> Page {
    let body =
        serde_json::json!({"code": code.number(), "name": code.to_string(), "reason": reason});
    let mut page = json(body.to_string().into_bytes());
    *page.status_mut() = status;
    page
}
