//! Reservations of the instance's network link for long responses of the inbound proxy.

use std::{net::SocketAddr, time::Duration};

use http::{HeaderValue, Response};
use hyper::body::Body;
use tokio::time::Instant;

use super::{InboundError, InboundProxy, InboundRequest, RefusalReason, inbound_proxy::refused};
use crate::{
    link::{LinkReservation, ReservationRequest},
    request_origin::RequestOrigin,
    response_body::{ResponseBody, SHORT_RESPONSE_MAX_BYTES},
};

/// Data kept from a request to schedule its response if that turns out long.
#[derive(Debug)]
pub(super) struct UnscheduledResponse {
    /// Identifier of the request, for the log.
    id: Option<HeaderValue>,
    target_deadline: Instant,
    ends_at: Instant,
    receiver: Option<SocketAddr>,
    arrived: Instant,
}

/// Admission of a request by the instance's link.
#[derive(Debug)]
pub(super) struct LinkAdmission {
    /// Reservation for a long response; none for a short one, and for a caller on this instance.
    pub(super) reservation: Option<LinkReservation>,
    /// Whether the response is expected to be too long for the link, and shows if that still holds.
    is_probe: bool,
}

impl LinkAdmission {
    const fn unreserved(is_probe: bool) -> Self {
        Self {
            reservation: None,
            is_probe,
        }
    }
}

impl InboundProxy {
    /// Reserves the link for a long response to another node. Refuses the request if the response
    /// couldn't arrive in time.
    ///
    /// Where the expected size alone speaks against it, a request runs now and then as a probe.
    pub(super) fn reserve_link(
        &self,
        request: &InboundRequest,
    ) -> Result<LinkAdmission, InboundError> {
        let bytes = self.inner.response_sizes.borrow().get(request.route_hash);
        if bytes <= SHORT_RESPONSE_MAX_BYTES || request.origin() == RequestOrigin::Caller {
            return Ok(LinkAdmission::unreserved(false));
        }
        let (clock, link) = (self.inner.clock, &self.inner.link);
        let reservation_request = ReservationRequest {
            bytes,
            ready_in: self
                .inner
                .queue
                .borrow()
                .mean_run_time_of(request.route_hash),
            target_deadline: clock.time_of(request.target_deadline),
            ends_at: link.bound_end(
                request.sender,
                clock.time_of(request.arrived),
                clock.time_of(request.ends_at),
            ),
            receiver: request.sender,
        };
        let mut next_probe = None;
        if link.exceeds_link(clock, reservation_request) {
            let mut sizes = self.inner.response_sizes.borrow_mut();
            match sizes.begin_probe(clock.now(), request.route_hash) {
                Ok(()) => return Ok(LinkAdmission::unreserved(true)),
                Err(wait) => next_probe = Some(wait),
            }
        }
        match link.reserve(clock, self.request_id_of(request), reservation_request) {
            Ok(reservation) => Ok(LinkAdmission {
                reservation: Some(reservation),
                is_probe: false,
            }),
            Err(wait) => {
                let retry_after = next_probe.map_or(wait, |probe| probe.min(wait));
                refused(RefusalReason::LinkFull, retry_after)
            }
        }
    }

    /// Records the size of a response that was admitted to the link by `link_admission`.
    ///
    /// The failure of a probe says nothing about the size of the route's other responses.
    pub(super) fn record_response_size(
        &self,
        route_hash: u64,
        link_admission: &LinkAdmission,
        response: &Response<ResponseBody>,
    ) {
        let now = self.inner.clock.now();
        let bytes = response.body().size_hint().exact();
        let mut sizes = self.inner.response_sizes.borrow_mut();
        if !link_admission.is_probe {
            if let Some(bytes) = bytes {
                sizes.observe(now, route_hash, bytes);
            }
        } else if response.status().is_success() {
            sizes.observe_probe(now, route_hash, bytes);
        }
    }

    /// Schedules on the link a response for another node that turned out long.
    ///
    /// After a start no response sizes are known. If the first long responses were all sent at
    /// once, they would fill the link for so long that the node seems dead to the others.
    pub(super) fn schedule_long_response(
        &self,
        response: UnscheduledResponse,
        bytes: u64,
    ) -> Option<LinkReservation> {
        if bytes <= SHORT_RESPONSE_MAX_BYTES {
            return None;
        }
        let (clock, link) = (self.inner.clock, &self.inner.link);
        let reservation_request = ReservationRequest {
            bytes,
            ready_in: Duration::ZERO,
            target_deadline: clock.time_of(response.target_deadline),
            ends_at: link.bound_end(
                response.receiver,
                clock.time_of(response.arrived),
                clock.time_of(response.ends_at),
            ),
            receiver: response.receiver,
        };
        Some(link.reserve_unchecked(clock, response.id, reservation_request))
    }

    /// Returns what [`InboundProxy::schedule_long_response`] needs, if another node sent the
    /// request.
    pub(super) fn unscheduled_response(
        &self,
        request: &InboundRequest,
    ) -> Option<UnscheduledResponse> {
        (request.origin() == RequestOrigin::Node).then(|| UnscheduledResponse {
            id: self.request_id_of(request),
            target_deadline: request.target_deadline,
            ends_at: request.ends_at,
            receiver: request.sender,
            arrived: request.arrived,
        })
    }

    /// Returns the identifier of a request, for the log.
    pub(super) fn request_id_of(&self, request: &InboundRequest) -> Option<HeaderValue> {
        request.headers.get(&self.headers.request_id).cloned()
    }
}
