//! Serves a connection of the callers' port.

use std::{
    convert::Infallible,
    future::{pending, poll_fn},
    rc::Rc,
};

use http::{HeaderValue, Request, Response, header};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioTimer;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    select,
    sync::{Notify, watch},
    time::timeout,
};

use super::{
    RequestTarget,
    lane_body::LaneBody,
    lane_io::LaneIo,
    pipeline_connection::{LaneUse, PipelineConnection},
};
use crate::{
    connection_limits::{BUFFER_MIN_BYTES, ConnectionLimits, FIRST_REQUEST_TIMEOUT},
    connections::ConnectionSlot,
    header_names::head_bytes,
};

/// Serves the requests of a connection with `handler`, until it ends or the node closes.
///
/// `may_begin_early` returns whether a request may begin while earlier ones on the connection are
/// unanswered. It is asked right before the request begins. Responses are sent in the order of the
/// requests. While `is_draining` returns true, a response closes the connection if nothing behind
/// it has begun. When `closing` becomes true, the connection ends as
/// [`serve_listener`](crate::http_listener::serve_listener) says. When `slot` is taken away, which is
/// only done while the connection is idle, it ends at once.
pub async fn serve_pipelined<F, B>(
    socket: impl AsyncRead + AsyncWrite + Unpin,
    limits: ConnectionLimits,
    may_begin_early: impl Fn(&RequestTarget) -> bool,
    is_draining: impl Fn() -> bool,
    handler: impl Fn(Request<Incoming>) -> F,
    slot: Option<ConnectionSlot>,
    mut closing: watch::Receiver<bool>,
) where
    F: Future<Output = Response<B>>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let limits = ConnectionLimits {
        max_head_bytes: limits.max_head_bytes.max(BUFFER_MIN_BYTES),
        ..limits
    };
    let request_seen = Rc::new(Notify::new());
    let (handler, is_draining) = (Rc::new(handler), Rc::new(is_draining));
    let make_lane = |io: LaneIo<_>, lane_use| {
        let state = Rc::clone(io.state());
        let (request_seen, handler) = (Rc::clone(&request_seen), Rc::clone(&handler));
        let is_draining = Rc::clone(&is_draining);
        let service = service_fn(move |request| {
            request_seen.notify_one();
            let (response, state) = (handler(request), Rc::clone(&state));
            let is_draining = Rc::clone(&is_draining);
            async move {
                let mut response = response.await;
                if state.is_last() && is_draining() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                if !state.is_front() {
                    state.record_response(head_bytes(response.headers()) as usize);
                }
                Ok::<_, Infallible>(response.map(|body| LaneBody::new(body, state)))
            }
        });
        lane_builder(limits, lane_use).serve_connection(io, service)
    };
    let slot = slot.map(Rc::new);
    let place = slot.clone();
    let mut connection = PipelineConnection::new(socket, limits, place, make_lane, may_begin_early);
    let slot_taken = async {
        match &slot {
            Some(slot) => slot.closed().await,
            None => pending().await,
        }
    };
    select! {
        biased;
        // Only idle connections lose their place. What has arrived since isn't read.
        () = slot_taken => return,
        () = poll_fn(|cx| connection.poll(cx)) => return,
        _ = closing.wait_for(|closing| *closing) => {}
    }
    // `Notify` stores the notification of an earlier request, so only a connection
    // that has brought no request waits here.
    select! {
        biased;
        () = poll_fn(|cx| connection.poll(cx)) => return,
        _ = timeout(FIRST_REQUEST_TIMEOUT, request_seen.notified()) => {}
    }
    connection.begin_close();
    poll_fn(|cx| connection.poll(cx)).await;
}

fn lane_builder(limits: ConnectionLimits, lane_use: LaneUse) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.max_head_bytes);
    match lane_use {
        // The connection itself closes when no request arrives.
        LaneUse::Requests => builder.header_read_timeout(None),
        LaneUse::Rest => builder
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout),
    };
    builder
}
