//! Sends requests to a node as callers do.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use geranium_standins::{CallerRequest, CallerResponse};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{timeout, timeout_at},
};

use super::CallOutcome;

/// Time that callers allow for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the deadline until which a response is still awaited.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);
/// Most idle connections kept for reuse.
const IDLE_CONNECTIONS_MAX: usize = 8;

type Sender = SendRequest<Full<Bytes>>;

/// Sends requests to one node, on reused or new connections.
#[derive(Debug, Clone)]
pub struct CallSender {
    addr: SocketAddr,
    kept: Arc<Mutex<Vec<Sender>>>,
}

/// How a request was sent, and its outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct SentCall {
    /// Whether the request was sent on a reused connection.
    pub kept: bool,
    /// When the request was sent.
    pub sent: Instant,
    /// Outcome of the request.
    pub outcome: CallOutcome,
}

impl CallSender {
    /// Creates a sender for the callers' listener at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            kept: Arc::default(),
        }
    }

    /// Sends a request and waits for the response.
    ///
    /// The caller disconnects early, after `leave_after`, if that is given. A good response
    /// starts with the body of the request.
    pub async fn send(
        &self,
        call: &CallerRequest,
        reuse: bool,
        leave_after: Option<Duration>,
    ) -> SentCall {
        let kept = if reuse { self.take() } else { None };
        let was_kept = kept.is_some();
        let sent = Instant::now();
        let end = tokio::time::Instant::now() + call.deadline + RESPONSE_GRACE;
        let exchanged = timeout_at(end, self.exchange(call, kept));
        let outcome = match leave_after {
            None => exchanged.await.unwrap_or(CallOutcome::Silent),
            Some(leave_after) => match timeout(leave_after, exchanged).await {
                Ok(ended) => ended.unwrap_or(CallOutcome::Silent),
                Err(_left) => CallOutcome::Left,
            },
        };
        SentCall {
            kept: was_kept,
            sent,
            outcome,
        }
    }

    /// Sends the request and reads the whole response.
    async fn exchange(&self, call: &CallerRequest, kept: Option<Sender>) -> CallOutcome {
        let sender = match kept {
            Some(sender) => Some(sender),
            None => self.connect().await,
        };
        let Some(mut sender) = sender else {
            return CallOutcome::NotSent;
        };
        let response = match sender.try_send_request(call.request()).await {
            Ok(response) => response,
            Err(mut error) => {
                return match error.take_message() {
                    Some(_unsent) => CallOutcome::NotSent,
                    None => CallOutcome::Closed,
                };
            }
        };
        let answer = CallerResponse::read(response.status(), response.headers());
        match response.into_body().collect().await {
            Ok(body) => {
                self.keep(sender);
                let body = body.to_bytes();
                let own = !answer.status.is_success() || matches_request(call, &answer, &body);
                CallOutcome::Answered { answer, own }
            }
            Err(_) => CallOutcome::Broken,
        }
    }

    async fn connect(&self) -> Option<Sender> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
        let stream = stream.ok()?.ok()?;
        let _best_effort = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move { drop(connection.await) });
        Some(sender)
    }

    fn take(&self) -> Option<Sender> {
        let mut kept = self.kept.lock().expect("not poisoned");
        kept.retain(|sender| !sender.is_closed());
        let ready = kept.iter().position(Sender::is_ready)?;
        Some(kept.swap_remove(ready))
    }

    fn keep(&self, sender: Sender) {
        let mut kept = self.kept.lock().expect("not poisoned");
        if kept.len() < IDLE_CONNECTIONS_MAX && !sender.is_closed() {
            kept.push(sender);
        }
    }
}

/// Whether a good response belongs to its request: it is signed, names the request,
/// and holds the request's body and as many further bytes as were requested.
fn matches_request(call: &CallerRequest, answer: &CallerResponse, body: &[u8]) -> bool {
    let named = answer.id.as_deref() == Some(&*call.id);
    let echoed = body.starts_with(call.body.as_bytes());
    let requested = call.path.split_once("bytes=").map(|(_, text)| text);
    let requested = requested.and_then(|text| text.split('&').next()?.parse::<usize>().ok());
    let whole = requested.is_none_or(|bytes| body.len() == call.body.len() + bytes);
    answer.signed && named && echoed && whole
}
