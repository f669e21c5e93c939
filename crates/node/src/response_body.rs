//! Bodies of responses.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use serde::Serialize;
use snafu::Snafu;

use crate::{
    inbound::RunSlot,
    late_body::LateBody,
    link::LinkReservation,
    node_core::OpenRequestGuard,
    outbound::{InFlightGuard, StandstillBound},
};

#[derive(Debug)]
enum BodySource {
    Whole(Option<Bytes>),
    Stream {
        incoming: Incoming,
        /// Bytes that were read and have not had their turn on the link.
        unsent: Bytes,
    },
}

/// Reason why the body of a response ends before it is complete.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection on which the body arrives broke.
    #[snafu(display("{source}"), context(false))]
    Broken {
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The backend server goes on to send after the request's end.
    #[snafu(display("the response doesn't end"))]
    Endless,
    /// The node from which the body arrives stands still after the request's end.
    #[snafu(display("the node that sends the response stands still"))]
    Standstill,
}

/// Body of a response, with the resources that are held until its end.
///
/// A stream that breaks ends with an error, and the server then closes the
/// connection, so that a truncated response never looks complete.
#[derive(Debug)]
pub struct ResponseBody {
    source: BodySource,
    slot: Option<RunSlot>,
    in_flight_guard: Option<InFlightGuard>,
    open_request_guard: Option<OpenRequestGuard>,
    reservation: Option<LinkReservation>,
    late_body: Option<LateBody>,
    standstill_bound: Option<StandstillBound>,
}

/// Largest body of a short response, in bytes.
///
/// A short response is read whole before its head is passed on, so that a broken
/// connection is noticed while another try is still possible. Longer responses would
/// take memory and fill links, and are streamed.
pub const SHORT_RESPONSE_MAX_BYTES: u64 = 32 * 1024;

/// Returns whether a body is known to be short.
pub fn is_short(body: &impl Body) -> bool {
    body.size_hint()
        .exact()
        .is_some_and(|bytes| bytes <= SHORT_RESPONSE_MAX_BYTES)
}

/// Creates a response with a status and an empty body.
///
/// # Examples
///
/// ```
/// use geranium_node::response_body::empty_response;
/// use http::StatusCode;
///
/// let response = empty_response(StatusCode::BAD_REQUEST);
/// assert_eq!(response.status(), StatusCode::BAD_REQUEST);
/// ```
pub fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Creates a response with a value as JSON.
///
/// # Errors
///
/// Returns an error when the value can't be serialized.
///
/// # Examples
///
/// ```
/// use geranium_node::response_body::json_response;
/// use http::StatusCode;
///
/// let response = json_response(&[1, 2])?;
/// assert_eq!(response.status(), StatusCode::OK);
/// # Ok::<(), serde_json::Error>(())
/// ```
pub fn json_response(value: &impl Serialize) -> Result<Response<ResponseBody>, serde_json::Error> {
    let text = serde_json::to_vec(value)?;
    let mut response = Response::new(ResponseBody::whole(text));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(response)
}

impl ResponseBody {
    /// Creates a body from all of its bytes.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::from_source(BodySource::Whole(Some(bytes.into())))
    }

    /// Creates a body that forwards an incoming body as it arrives.
    pub fn stream(incoming: Incoming) -> Self {
        Self::stream_after(Bytes::new(), incoming)
    }

    /// Creates a body that forwards the bytes that were read, and the rest as it arrives.
    pub fn stream_after(unsent: Bytes, incoming: Incoming) -> Self {
        Self::from_source(BodySource::Stream { incoming, unsent })
    }

    /// Holds a slot of the backend server until the end of the body.
    #[must_use]
    pub fn with_slot(mut self, slot: RunSlot) -> Self {
        self.slot = Some(slot);
        self
    }

    /// Holds the guard of a request in flight until the end of the body.
    #[must_use]
    pub fn with_in_flight_guard(mut self, guard: InFlightGuard) -> Self {
        self.in_flight_guard = Some(guard);
        self
    }

    /// Sends a long body at the pace of its reservation on the link.
    #[must_use]
    pub fn with_reservation(mut self, reservation: Option<LinkReservation>) -> Self {
        self.reservation = reservation;
        let bytes = self.size_hint().exact();
        if let Some(reservation) = &mut self.reservation {
            reservation.record_response_ready(bytes);
        }
        self
    }

    /// Cuts a body that the backend server doesn't end.
    #[must_use]
    pub(crate) fn with_late_body(mut self, late_body: LateBody) -> Self {
        self.late_body = Some(late_body);
        self
    }

    /// Cuts a body whose node stands still.
    #[must_use]
    pub(crate) fn with_standstill_bound(mut self, bound: StandstillBound) -> Self {
        self.standstill_bound = Some(bound);
        self
    }

    /// Counts the request as open until the end of the body.
    #[must_use]
    pub fn with_open_request_guard(mut self, guard: OpenRequestGuard) -> Self {
        self.open_request_guard = Some(guard);
        self
    }

    /// Whether the body is passed on as it arrives.
    pub(crate) const fn is_stream(&self) -> bool {
        matches!(self.source, BodySource::Stream { .. })
    }

    const fn from_source(source: BodySource) -> Self {
        Self {
            source,
            slot: None,
            in_flight_guard: None,
            open_request_guard: None,
            reservation: None,
            late_body: None,
            standstill_bound: None,
        }
    }

    /// Counts sent bytes, under the reservation if the body has one.
    fn record_sent(&mut self, bytes: usize) {
        match (&mut self.reservation, &self.open_request_guard) {
            (Some(reservation), _) => reservation.record_sent(bytes as u64),
            (None, Some(guard)) => guard.record_short_body(bytes as u64),
            (None, None) => {}
        }
    }

    /// Forwards the incoming body. With a reservation, it is forwarded in chunks that
    /// wait for their turns on the link.
    fn poll_stream(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let BodySource::Stream { incoming, unsent } = &mut self.source else {
            return Poll::Ready(None);
        };
        let late_body = self.late_body.as_mut();
        if late_body.is_some_and(|late| late.poll_end(cx)) {
            return Poll::Ready(Some(Err(BodyError::Endless)));
        }
        if unsent.is_empty() {
            let late_body = self.late_body.as_mut();
            match Pin::new(incoming).poll_frame(cx) {
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => {
                        if let Some(bound) = &self.standstill_bound {
                            bound.record_bytes();
                        }
                        if late_body.is_some_and(|late| late.record_bytes(data.len())) {
                            return Poll::Ready(Some(Err(BodyError::Endless)));
                        }
                        *unsent = data;
                    }
                    Err(trailers) => return Poll::Ready(Some(Ok(trailers))),
                },
                Poll::Ready(ended) => {
                    return Poll::Ready(ended.map(|result| result.map_err(BodyError::from)));
                }
                Poll::Pending if late_body.is_some_and(|late| late.poll_wait(cx)) => {
                    return Poll::Ready(Some(Err(BodyError::Endless)));
                }
                Poll::Pending => {
                    let bound = self.standstill_bound.as_ref();
                    if bound.is_some_and(|bound| bound.poll_cut(cx)) {
                        return Poll::Ready(Some(Err(BodyError::Standstill)));
                    }
                    return Poll::Pending;
                }
            }
        }
        let turn_bytes = match &mut self.reservation {
            Some(reservation) => ready!(reservation.poll_turn(cx)),
            None => unsent.len(),
        };
        let chunk = unsent.split_to(turn_bytes.min(unsent.len()));
        self.record_sent(chunk.len());
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn finish(&mut self) {
        if let Some(slot) = self.slot.take() {
            slot.complete();
        }
        if let Some(guard) = self.in_flight_guard.take() {
            guard.complete();
        }
        if let Some(reservation) = self.reservation.take() {
            reservation.complete();
        }
        self.open_request_guard = None;
        self.standstill_bound = None;
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        if let BodySource::Whole(bytes) = &mut this.source {
            let bytes = bytes.take();
            this.record_sent(bytes.as_ref().map_or(0, Bytes::len));
            this.finish();
            return Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))));
        }
        let polled = this.poll_stream(cx);
        // The server stops polling once the declared length is reached, so the
        // end has to be noticed with the last frame.
        let ended = match &polled {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => this.is_end_stream(),
            _ => false,
        };
        if ended {
            this.finish();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            BodySource::Stream { incoming, unsent } => {
                unsent.is_empty() && incoming.is_end_stream()
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            BodySource::Stream { incoming, unsent } => {
                let hint = incoming.size_hint();
                let read = unsent.len() as u64;
                let mut whole = SizeHint::new();
                whole.set_lower(hint.lower() + read);
                if let Some(upper) = hint.upper() {
                    whole.set_upper(upper + read);
                }
                whole
            }
        }
    }
}
