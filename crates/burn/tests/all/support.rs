//! Samples for the tests.

use geranium_burn::{
    FleetSample, LatencyBucket, MissingNode, NodeReading, Objectives, ServiceObjective,
    TrafficCounts, TrafficKey,
};
use geranium_node::config::RequestKind;

/// Milliseconds in a minute.
pub const MINUTE_MS: u64 = 60_000;
pub const MONTH: std::time::Duration = std::time::Duration::from_secs(30 * 86_400);

/// Returns counts in which `slow` of the good responses took 0.25 to 1 s.
pub fn counts(good: u64, bad: u64, slow: u64) -> TrafficCounts {
    let bucket = |bound_s, count| LatencyBucket { bound_s, count };
    TrafficCounts {
        good,
        bad,
        caller_faults: 0,
        timed: good,
        buckets: vec![bucket(0.25, good - slow), bucket(1.0, good)],
    }
}

/// Returns a reading of a node with lookup requests to the service `verdskra`.
pub fn node(instance: &str, started: u64, counts: TrafficCounts) -> NodeReading {
    let key = TrafficKey {
        service: "verdskra".to_owned(),
        kind: RequestKind::Lookup,
    };
    let data_centre = if instance.ends_with('1') {
        "sundahofn"
    } else {
        "hofdi"
    };
    NodeReading {
        instance: instance.to_owned(),
        data_centre: data_centre.to_owned(),
        version: 7,
        started,
        traffic: [(key, counts)].into(),
    }
}

pub fn missing(instance: &str) -> MissingNode {
    MissingNode {
        instance: Some(instance.to_owned()),
        admin_addr: Some("10.0.1.9:7070".parse().unwrap()),
        reason: "connection refused".to_owned(),
    }
}

/// Returns objectives that a tenth of the responses may violate.
pub fn objectives(latency_ms: u32) -> Objectives {
    let objective = ServiceObjective {
        availability: 0.9,
        latency_ms,
        latency_share: 0.9,
    };
    let services = ["verdskra", "pantanir"].map(|name| (name.to_owned(), objective));
    services.into()
}

pub fn sample(minute: u64, nodes: impl Into<Vec<NodeReading>>) -> FleetSample {
    FleetSample {
        at_ms: minute * MINUTE_MS,
        version: 7,
        objectives: objectives(250),
        nodes: nodes.into(),
        missing: Vec::new(),
    }
}
