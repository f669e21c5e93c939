//! Tests of parsing the metrics pages that nodes write.

use geranium_burn::{MetricLine, NodeReading, ReadingError, TrafficKey};
use geranium_node::config::RequestKind;

const PAGE: &str = r#"
# HELP geranium_requests_total
# TYPE geranium_requests_total counter
geranium_requests_total{code="ok",kind="lookup",result="good",service="verdskra",otel_scope_name="geranium"} 90
geranium_requests_total{code="ok",kind="lookup",result="slow",service="verdskra",otel_scope_name="geranium"} 2
geranium_requests_total{code="ok",kind="lookup",result="failed",service="verdskra",otel_scope_name="geranium"} 3
geranium_requests_total{code="queue-full",kind="lookup",result="failed",service="verdskra",otel_scope_name="geranium"} 4
geranium_requests_total{code="backend-broke",kind="lookup",result="failed",service="verdskra",otel_scope_name="geranium"} 5
geranium_requests_total{code="of-a-later-version",kind="lookup",result="failed",service="verdskra",otel_scope_name="geranium"} 6
geranium_requests_total{code="body-too-large",kind="lookup",result="caller-fault",service="verdskra",otel_scope_name="geranium"} 7
geranium_requests_total{code="no-route",kind="none",result="caller-fault",service="",otel_scope_name="geranium"} 8
geranium_request_seconds_bucket{kind="lookup",service="verdskra",otel_scope_name="geranium",le="0.1"} 77
geranium_request_seconds_bucket{kind="lookup",service="verdskra",otel_scope_name="geranium",le="0.25"} 88
geranium_request_seconds_bucket{kind="lookup",service="verdskra",otel_scope_name="geranium",le="+Inf"} 92
geranium_request_seconds_sum{kind="lookup",service="verdskra",otel_scope_name="geranium"} 7.25
geranium_request_seconds_count{kind="lookup",service="verdskra",otel_scope_name="geranium"} 92
geranium_node_info{data_centre="hofdi",instance="hofdi-3",service="verdskra"} 1
geranium_node_started 1764708531000
geranium_config_version 12
geranium_queue{figure="waiting"} 3
"#;

#[test]
fn responses_are_counted_by_result() {
    let reading = NodeReading::try_from(PAGE).unwrap();
    assert_eq!(
        (reading.instance.as_str(), reading.started, reading.version),
        ("hofdi-3", 1_764_708_531_000, 12)
    );
    let key = TrafficKey {
        service: "verdskra".to_owned(),
        kind: RequestKind::Lookup,
    };
    let counts = &reading.traffic[&key];
    assert_eq!(
        (counts.good, counts.bad, counts.caller_faults),
        (92, 3 + 4 + 5 + 6, 7)
    );
    // A threshold between two bounds is rounded down to the lower one; below all
    // bounds, every response is slow.
    let slow = [99, 100, 249, 250, 60_000].map(|latency_ms| counts.slow_responses(latency_ms));
    assert_eq!(slow, [92, 15, 15, 4, 4]);
}

/// A metrics page is truncated, or written by another version of the node. A count
/// that can't be read must not count as zero, so the whole page is rejected.
#[test]
fn an_incomplete_page_is_rejected_as_a_whole() {
    let without = |text: &str| NodeReading::try_from(PAGE.replace(text, "").as_str());
    let missing = ReadingError::Missing {
        name: "geranium_node_started",
    };
    assert_eq!(without("geranium_node_started 1764708531000"), Err(missing));
    assert!(
        without(
            "geranium_node_info{data_centre=\"hofdi\",instance=\"hofdi-3\",service=\"verdskra\"} 1"
        )
        .is_err()
    );
    assert!(without("service=\"verdskra\",").is_err());
    assert!(without("} 90").is_err());
    assert!(NodeReading::try_from(PAGE.replace("} 90", "} -90").as_str()).is_err());
    assert!(NodeReading::try_from(PAGE.replace("} 90", "} 9.5").as_str()).is_err());
    assert!(MetricLine::try_from("a{b=c} 1").is_err());
}
