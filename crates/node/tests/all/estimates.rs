//! Estimates that refuse requests, and what corrects them.

use std::time::Duration;

use geranium_node::{
    link::{LinkDecision, LinkSchedule, ReservationRequest},
    member::ResponseSizes,
};
use proptest::prelude::*;

use crate::support::at;

const ROUTE: u64 = 7;
/// Rate of the link in megabits per second; it carries some 764 bytes a millisecond.
const LINK_MBPS: f64 = 6.5;
/// Time between requests of the route.
const INTERVAL: Duration = Duration::from_millis(100);
/// Time that a request has left.
const DEADLINE: Duration = Duration::from_millis(800);
/// Time after the last large response in which an idle route is served again.
const RECOVERY_TIME: Duration = Duration::from_secs(31);

/// A route on an idle link, whose requests come one after the other.
#[derive(Debug, Default)]
struct IdleRoute {
    sizes: ResponseSizes,
    now: Duration,
}

impl IdleRoute {
    fn request(&self) -> ReservationRequest {
        ReservationRequest {
            bytes: self.sizes.get(ROUTE),
            ready_in: Duration::ZERO,
            target_deadline: self.now + DEADLINE / 2,
            ends_at: self.now + DEADLINE,
            receiver: None,
        }
    }

    /// Sends a request with a response of this size, and returns whether it ran.
    fn send(&mut self, bytes: u64) -> bool {
        self.now += INTERVAL;
        let mut link = LinkSchedule::new(LINK_MBPS);
        let request = self.request();
        if link.exceeds_link(self.now, request) {
            let probed = self.sizes.begin_probe(self.now, ROUTE).is_ok();
            if probed {
                self.sizes.observe_probe(self.now, ROUTE, Some(bytes));
            }
            return probed;
        }
        let decision = link.reserve(self.now, request);
        assert!(
            matches!(decision, LinkDecision::Reserved(_)),
            "an idle link"
        );
        self.sizes.observe(self.now, ROUTE, bytes);
        true
    }
}

/// Guards against a route that is refused for good because its first response was large, or because
/// a backend server stated a wrong length.
#[test]
fn a_large_first_response_ends_no_route() {
    for first in [540_000, 4_200_000, 1 << 40, i64::MAX as u64, u64::MAX] {
        let mut route = IdleRoute::default();
        assert!(route.send(first));
        let since = route.now;
        while !route.send(4) {
            assert!(route.now < since + RECOVERY_TIME, "{first} bytes");
        }
        for _ in 0..100 {
            assert!(route.send(4), "{first} bytes");
        }
    }
}

/// Guards against a link that is kept busy by responses which it can't carry in time.
#[test]
fn responses_that_are_too_large_seldom_run() {
    let mut route = IdleRoute::default();
    let sent = (0..6_000).filter(|_| route.send(2_000_000)).count();
    assert!(sent <= 30, "{sent} of 6000 in ten minutes");
}

/// Guards against probes where the sizes of other responses still correct the estimate.
#[test]
fn a_route_with_samples_is_not_probed() {
    let mut sizes = ResponseSizes::default();
    for second in 0..60 {
        sizes.observe(at(second * 1_000), ROUTE, 540_000);
        assert!(sizes.begin_probe(at(second * 1_000 + 900), ROUTE).is_err());
    }
    let now = at(62_000);
    assert_eq!(sizes.begin_probe(now, ROUTE), Ok(()));
    sizes.observe_probe(now, ROUTE, None);
    assert_eq!(sizes.get(ROUTE), 0, "the response had no stated length");
}

/// Guards against a retry delay, or an end of the process, from a length that no link carries.
#[test]
fn absurd_lengths_are_reserved_and_refused() {
    let request = |bytes| ReservationRequest {
        bytes,
        ready_in: Duration::ZERO,
        target_deadline: at(400),
        ends_at: at(800),
        receiver: None,
    };
    for rate in [f64::MIN_POSITIVE, 0.001, LINK_MBPS] {
        let mut link = LinkSchedule::new(rate);
        for _ in 0..3 {
            link.reserve_unchecked(request(u64::MAX));
        }
        assert!(link.backlog(at(1)) <= Duration::from_hours(24));
        let wait = link.refusal(at(1), request(4));
        assert!(wait.is_some_and(|wait| wait <= Duration::from_hours(25)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// Guards against any series of sizes after which an idle route stays refused.
    #[test]
    fn an_idle_route_is_served_again(sizes in prop::collection::vec(0..u64::MAX, 1..60)) {
        let mut route = IdleRoute::default();
        for bytes in sizes {
            route.send(bytes);
        }
        let since = route.now;
        while !route.send(4) {
            prop_assert!(route.now < since + RECOVERY_TIME);
        }
        prop_assert!(route.send(4));
    }
}
