//! Number of store calls that a fleet makes during an outage of the store.

use std::time::Duration;

use geranium_node::{
    distribution::{RelaySelector, StoreAccess, StoreProbeDuty, StoreReachability, UpdateSource},
    member::MemberRecord,
};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

use crate::support::{at, peer_addr, record};

const STEP: Duration = Duration::from_millis(20);
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
const OUTAGE_TIME: Duration = Duration::from_secs(8);

/// One node of a data centre while the store is unavailable.
struct Node {
    relay_selector: RelaySelector,
    access: StoreAccess,
    renewal_at: Duration,
    /// When the pause before the next probe began, and its jitter.
    pause: (Duration, f64),
    calls: u32,
}

impl Node {
    fn new(number: u8, rng: &mut impl Rng) -> Self {
        let mut relay_selector = RelaySelector::new(peer_addr(number));
        let answer_age = RENEWAL_INTERVAL.mul_f64(rng.random());
        relay_selector.record_store_response(at(10_000).saturating_sub(answer_age));
        Self {
            relay_selector,
            access: StoreAccess::default(),
            renewal_at: at(10_000) + RENEWAL_INTERVAL.saturating_sub(answer_age),
            pause: (Duration::ZERO, 0.0),
            calls: 0,
        }
    }

    fn fail(&mut self, now: Duration, rng: &mut impl Rng) {
        self.calls += 1;
        self.access.record_failure();
        self.pause = (now, rng.random());
    }

    fn step(&mut self, now: Duration, duty: StoreProbeDuty, rng: &mut impl Rng) {
        if self.access.allows_calls() {
            if now >= self.renewal_at || duty == StoreProbeDuty::Own {
                self.fail(now, rng);
            }
            return;
        }
        let (since, jitter) = self.pause;
        if now >= since + self.access.probe_pause(duty, jitter) {
            self.fail(now, rng);
            self.relay_selector.record_store_lost();
        }
    }
}

/// Simulates an outage, and returns the calls of all nodes of a data centre.
fn calls_of_outage(nodes: u8) -> u32 {
    let mut rng = StdRng::seed_from_u64(7);
    let records: Vec<MemberRecord> = (0..nodes).map(record).collect();
    let order: Vec<&MemberRecord> = records.iter().collect();
    let mut fleet: Vec<Node> = (0..nodes).map(|own| Node::new(own, &mut rng)).collect();
    let mut now = at(10_000);
    while now < at(10_000) + OUTAGE_TIME {
        for own in 0..fleet.len() {
            let source = fleet[own].relay_selector.select(now, &order);
            if let UpdateSource::Node(peer_addr) = source {
                let position = order
                    .iter()
                    .position(|record| record.peer_addr == peer_addr);
                let relay_selector =
                    &mut fleet[position.expect("the relay is a member")].relay_selector;
                relay_selector.record_update_request(now);
                let reachability = StoreReachability {
                    age: relay_selector.store_age(now),
                    lost: relay_selector.has_lost_store(),
                };
                let probe_needed =
                    fleet[own]
                        .relay_selector
                        .record_reachability(now, peer_addr, reachability);
                if probe_needed && fleet[own].access.recheck() {
                    fleet[own].pause = (now, rng.random());
                }
            }
            let own_duty = source == UpdateSource::Store
                || fleet[own].relay_selector.has_recent_update_request(now);
            let duty = if own_duty {
                StoreProbeDuty::Own
            } else {
                StoreProbeDuty::ByRelay
            };
            fleet[own].step(now, duty, &mut rng);
        }
        now += STEP;
    }
    fleet.iter().map(|node| node.calls).sum()
}

/// Guards against an outage in which every node probes the store by itself.
#[test]
fn an_outage_costs_each_node_a_few_calls() {
    for nodes in [30, 240] {
        let calls = calls_of_outage(nodes);
        let each = f64::from(calls) / f64::from(nodes);
        assert!(each < 6.0, "{calls} calls of {nodes} nodes");
    }
}
