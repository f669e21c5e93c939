//! Preview of the admission of a request that hasn't been sent yet.

use std::time::Duration;

use super::{
    AdmissionQueue, AdmissionRequest,
    admission_queue::{RETRY_AFTER_MAX, RETRY_AFTER_MIN},
    route_statistics::RankedRoute,
};

/// Time for which a preview's admission counts until the request arrives. A large body takes some
/// tens of milliseconds on a slow link.
const PROMISE_TIME: Duration = Duration::from_millis(60);

impl AdmissionQueue {
    /// Decides whether a request would be admitted, for a sender that hasn't sent it yet.
    ///
    /// A refusal counts like that of a request. An admission counts against further previews until
    /// the request arrives, so that senders that ask in the same moment don't all get the same
    /// answer. The request may still be refused when it arrives. Returns the time after which the
    /// queue is expected to accept a request that is refused.
    ///
    /// # Errors
    ///
    /// Fails if the request would be refused.
    pub fn preview(&mut self, now: Duration, request: AdmissionRequest) -> Result<(), Duration> {
        while self.promised.front().is_some_and(|&(_, end)| end <= now) {
            self.promised.pop_front();
        }
        let promised = self.promised.len() as u32;
        let has_slot = self.running + promised < self.slots;
        let has_room = has_slot && self.limit_wait(now, promised).is_zero();
        if !(has_room && self.may_start(now, request.is_nested)) {
            let route = RankedRoute {
                rank: request.rank,
                route_hash: request.route_hash,
            };
            if let Err(wait) = self.plan_wait(now, &request, promised) {
                self.statistics.record_request(now, route);
                let late = self.is_late(now, &request);
                let flow_request = self.schedule.record_request(now, &request, late);
                self.refuse(route, flow_request, late, wait);
                return Err(wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX));
            }
        }
        let promise = (request.route_hash, now + PROMISE_TIME);
        self.promised.push_back(promise);
        Ok(())
    }

    /// Ends the oldest promise for a request of this route, which has arrived.
    pub(super) fn redeem_promise(&mut self, route_hash: u64) {
        let mut promised = self.promised.iter();
        let promise = promised.position(|&(promised_route, _)| promised_route == route_hash);
        if let Some(position) = promise {
            self.promised.remove(position);
        }
    }
}
