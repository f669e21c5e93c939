//! Pages of metrics as nodes write them.

use geranium_burn::{MetricLine, NodeReading, ReadingError, TrafficKey};
use geranium_model::RequestClass;

const PAGE: &str = r#"
# HELP geranium_requests_total
# TYPE geranium_requests_total counter
geranium_requests_total{class="short",code="0",outcome="ran",service="verdskra",status="200",otel_scope_name="geranium"} 90
geranium_requests_total{class="short",code="0",outcome="ran",service="verdskra",status="404",otel_scope_name="geranium"} 2
geranium_requests_total{class="short",code="0",outcome="ran",service="verdskra",status="500",otel_scope_name="geranium"} 3
geranium_requests_total{class="short",code="111",outcome="not-run",service="verdskra",status="503",otel_scope_name="geranium"} 4
geranium_requests_total{class="short",code="131",outcome="maybe-run",service="verdskra",status="502",otel_scope_name="geranium"} 5
geranium_requests_total{class="short",code="9999",outcome="not-run",service="verdskra",status="400",otel_scope_name="geranium"} 6
geranium_requests_total{class="short",code="103",outcome="not-run",service="verdskra",status="413",otel_scope_name="geranium"} 7
geranium_request_seconds_bucket{class="short",service="verdskra",otel_scope_name="geranium",le="0.1"} 80
geranium_request_seconds_bucket{class="short",service="verdskra",otel_scope_name="geranium",le="0.25"} 91
geranium_request_seconds_bucket{class="short",service="verdskra",otel_scope_name="geranium",le="+Inf"} 95
geranium_request_seconds_sum{class="short",service="verdskra",otel_scope_name="geranium"} 7.25
geranium_request_seconds_count{class="short",service="verdskra",otel_scope_name="geranium"} 95
geranium_node_info{data_centre="hofdi",instance="hofdi-3"} 1
geranium_node_started 1764708531000
geranium_gate{figure="limit"} 12
"#;

#[test]
fn answers_are_sorted_by_what_they_say_of_the_service() {
    let reading = NodeReading::try_from(PAGE).unwrap();
    assert_eq!(
        (reading.instance.as_str(), reading.started),
        ("hofdi-3", 1_764_708_531_000)
    );
    let key = TrafficKey {
        service: "verdskra".parse().unwrap(),
        class: RequestClass::Short,
    };
    let counts = &reading.traffic[&key];
    // An unknown code is the service's fault until somebody says otherwise.
    assert_eq!(
        (counts.good, counts.bad, counts.caller_faults),
        (92, 3 + 4 + 5 + 6, 7)
    );
    // Between two bounds the lower one counts, and below all every answer.
    let slow = [99, 100, 249, 250, 60_000].map(|latency_ms| counts.slow(latency_ms));
    assert_eq!(slow, [92, 15, 15, 4, 4]);
}

/// A node is replaced by another version, or its page breaks off. A count that
/// can't be read must not pass as zero: the whole page is refused, and the node
/// is reported as missing.
#[test]
fn a_page_that_lacks_something_is_refused_as_a_whole() {
    let without = |text: &str| NodeReading::try_from(PAGE.replace(text, "").as_str());
    let missing = ReadingError::Missing {
        name: "geranium_node_started",
    };
    assert_eq!(without("geranium_node_started 1764708531000"), Err(missing));
    assert!(without("geranium_node_info{data_centre=\"hofdi\",instance=\"hofdi-3\"} 1").is_err());
    assert!(without("service=\"verdskra\",").is_err());
    assert!(without("} 90").is_err());
    assert!(NodeReading::try_from(PAGE.replace("} 90", "} -90").as_str()).is_err());
    assert!(NodeReading::try_from(PAGE.replace("} 90", "} 9.5").as_str()).is_err());
    assert!(MetricLine::try_from("a{b=c} 1").is_err());
}
