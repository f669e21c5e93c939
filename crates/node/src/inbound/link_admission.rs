//! The link's part in what the inbound proxy admits.

use std::time::Duration;

use http::HeaderValue;
use tokio::time::Instant;

use super::{InboundError, InboundProxy, InboundRequest, RefusalReason, inbound_proxy::refused};
use crate::{
    link::{LinkRequest, LinkReservation},
    request_origin::RequestOrigin,
    response_body::SHORT_RESPONSE_MAX_BYTES,
};

/// Data kept from a request to schedule its answer if that turns out long.
#[derive(Debug)]
pub(super) struct UnscheduledAnswer {
    /// Identifier of the request, for the log.
    id: Option<HeaderValue>,
    target_deadline: Instant,
    ends_at: Instant,
}

impl InboundProxy {
    /// Promises the link to a long answer for another node, or refuses the request if the
    /// answer couldn't arrive in time.
    pub(super) fn reserve_link(
        &self,
        request: &InboundRequest,
    ) -> Result<Option<LinkReservation>, InboundError> {
        let bytes = self.inner.response_sizes.borrow().get(request.route_hash);
        if bytes <= SHORT_RESPONSE_MAX_BYTES || request.origin == RequestOrigin::Caller {
            return Ok(None);
        }
        let (clock, link) = (self.inner.clock, &self.inner.link);
        let offer = LinkRequest {
            bytes,
            made_in: self.inner.queue.borrow().service_of(request.route_hash),
            target_deadline: clock.at(request.target_deadline),
            ends_at: clock.at(request.ends_at),
        };
        match link.offer(clock, self.id_of(request), offer) {
            Ok(reservation) => Ok(Some(reservation)),
            Err(retry_after) => refused(RefusalReason::LinkFull, retry_after),
        }
    }

    /// Schedules on the link an answer for another node that turned out long.
    ///
    /// After a start nobody knows which answers are long. Sent all at once, the first
    /// ones fill the link for so long that the node seems dead to the others.
    pub(super) fn schedule_long_response(
        &self,
        answer: UnscheduledAnswer,
        bytes: u64,
    ) -> Option<LinkReservation> {
        if bytes <= SHORT_RESPONSE_MAX_BYTES {
            return None;
        }
        let (clock, link) = (self.inner.clock, &self.inner.link);
        let offer = LinkRequest {
            bytes,
            made_in: Duration::ZERO,
            target_deadline: clock.at(answer.target_deadline),
            ends_at: clock.at(answer.ends_at),
        };
        Some(link.take(clock, answer.id, offer))
    }

    /// Returns what [`InboundProxy::schedule_long_response`] needs, if another node sent the request.
    pub(super) fn unscheduled_answer(&self, request: &InboundRequest) -> Option<UnscheduledAnswer> {
        (request.origin == RequestOrigin::Node).then(|| UnscheduledAnswer {
            id: self.id_of(request),
            target_deadline: request.target_deadline,
            ends_at: request.ends_at,
        })
    }

    /// Returns the identifier of a request, for the log.
    fn id_of(&self, request: &InboundRequest) -> Option<HeaderValue> {
        request.headers.get(&self.headers.request_id).cloned()
    }
}
