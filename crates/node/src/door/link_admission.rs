//! The link's part in what the door admits.

use std::{rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{DoorError, DoorFlow, DoorRequest, RefusalReason, door_flow::refused};
use crate::{
    answer_body::SHORT_MAX,
    header_set::header_text,
    link::{AnswerCourse, LinkOffer, LinkPromise, LinkUse, LinkVerdict},
};

impl DoorFlow {
    /// Promises the link to a long answer, or refuses it when that couldn't be
    /// there in time.
    pub(super) fn promise_link(
        &self,
        request: &DoorRequest,
    ) -> Result<Option<LinkPromise>, DoorError> {
        let bytes = self.inner.sizes.borrow().get(request.class);
        if bytes <= SHORT_MAX {
            return Ok(None);
        }
        let (clock, link) = (self.inner.clock, &self.inner.link);
        let offer = LinkOffer {
            bytes,
            made_in: self.inner.queue.borrow().service_of(request.class),
            useful_until: clock.at(request.useful_until),
            ends_at: clock.at(request.ends_at),
        };
        let now = clock.now();
        match link.offer(now, offer) {
            LinkVerdict::Promised(key) => {
                let course = AnswerCourse::new(self.id_of(request), LinkUse::LongAway, now, offer);
                Ok(Some(LinkPromise::new(link, clock, key, course)))
            }
            LinkVerdict::Refused { retry_after } => refused(RefusalReason::LinkFull, retry_after),
        }
    }

    /// Gives an answer its turns on the link that turned out long.
    ///
    /// After a start nobody knows which answers are long. Sent all at once, the first
    /// ones fill the link for so long that the node seems dead to the others.
    pub(super) fn take_link(
        &self,
        id: Rc<str>,
        bytes: u64,
        due: Instant,
        caller_end: Instant,
    ) -> Option<LinkPromise> {
        if bytes <= SHORT_MAX {
            return None;
        }
        let (clock, link) = (self.inner.clock, &self.inner.link);
        let offer = LinkOffer {
            bytes,
            made_in: Duration::ZERO,
            useful_until: clock.at(due),
            ends_at: clock.at(caller_end),
        };
        Some(link.take(clock, id, LinkUse::LongAway, offer))
    }

    /// Returns the identifier of a request, for the log.
    pub(super) fn id_of(&self, request: &DoorRequest) -> Rc<str> {
        let id = header_text(&request.headers, &self.headers.request_id);
        id.unwrap_or_default().into()
    }
}
