//! Timelines of requests from the nodes' logs.

use geranium_ctl::LogScanner;

/// Lines of two nodes, as a log collector mixes them.
///
/// They are out of order and have a prefix; some are about other requests, and one is cut off.
const LINES: &str = r#"
 3.1 n1 {"msg":"door refused","ts":"2026-06-01T10:00:03.100Z","node":"n1","request":"q7","at":"10.1.0.5:7600","instance":"i-5","reason":"leaving","retry_after_ms":50}
 2.0 n1 {"msg":"member announced","ts":"2026-06-01T10:00:02.000Z","node":"n1","at":"10.1.0.5:7600","instance":"i-5","service":"orders","state":"ready","revision":41}
 3.3 n1 {"msg":"request given up","ts":"2026-06-01T10:00:03.300Z","node":"n1","request":"q7","service":"orders","version":12,"code":131,"reason":"backend-broke","status":502,"retry_after_ms":null,"tries":2,"cause":"connection closed","took_ms":220}
 3.2 n1 {"msg":"try broke","ts":"2026-06-01T10:00:03.250Z","node":"n1","request":"q7","at":"10.1.0.6:7600","instance":"i-6","cause":"connection closed"}
 3.2 n2 {"msg":"request given up","ts":"2026-06-01T10:00:03.2Z","node":"n2","request":"q8","code":111}
 3.4 n2 {"msg":"cut sho
 4.0 n2 {"msg":"log lines dropped","lines":3}
"#;

fn timeline(request: &str) -> geranium_ctl::RequestTimeline {
    let mut scanner = LogScanner::new(request);
    scanner.read(LINES.as_bytes()).expect("bytes can be read");
    scanner.finish()
}

/// Returns the last member event shown with the first event about request `q`.
fn member_event_of_first(text: &str) -> Option<String> {
    let mut scanner = LogScanner::new("q");
    scanner.read(text.as_bytes()).expect("bytes can be read");
    scanner.finish().events[0].last_member_event.clone()
}

#[test]
fn a_timeline_is_in_order_and_names_its_inputs() {
    insta::assert_snapshot!(timeline("q7"), @r"
    request q7
    2026-06-01T10:00:03.100Z n1: the node at 10.1.0.5:7600 refused it for its backend server i-5: leaving (capacity expected in 50 ms); it did not run there
    2026-06-01T10:00:03.250Z n1: the connection of the try at 10.1.0.6:7600 (backend server i-6) broke after the request was sent, so it may have run: connection closed
    2026-06-01T10:00:03.300Z n1: failed with 502 (131 backend-broke) after 220 ms and 2 tries on service orders under configuration 12; cause connection closed; retry after - ms
    3 lines were dropped or withheld under load; more may have happened
    ");
}

#[test]
fn the_last_member_event_is_shown_with_a_request_event() {
    let text = r#"{"msg":"member announced","ts":"1","node":"n1","at":"a","service":"s","instance":"i","state":"ready","revision":4}
{"msg":"door refused","ts":"2","node":"n1","request":"q","at":"a","instance":"i","reason":"full","retry_after_ms":9}"#;
    let last_member_event = member_event_of_first(text);
    assert_eq!(
        last_member_event.as_deref(),
        Some("1: member a (s, i) announced as ready at revision 4")
    );
}

/// Guards against a missing member event when many announcements share a log line.
#[test]
fn a_member_event_is_found_in_a_line_about_many_members() {
    let text = r#"{"msg":"members announced","ts":"1","node":"n1","count":2,"members":"a 4 ready s i; b 5 leaving t j"}
{"msg":"door refused","ts":"2","node":"n1","request":"q","at":"b","instance":"j","reason":"leaving","retry_after_ms":9}"#;
    let last_member_event = member_event_of_first(text);
    assert_eq!(
        last_member_event.as_deref(),
        Some("1: member b (t, j) announced as leaving at revision 5")
    );
}

#[test]
fn an_unknown_request_has_no_events_and_counts_missing_lines() {
    let timeline = timeline("nobody");
    assert!(timeline.events.is_empty());
    assert_eq!((timeline.missing_lines, timeline.unreadable_lines), (3, 1));
}
