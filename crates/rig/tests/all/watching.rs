//! What polling makes of versions.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use geranium_rig::WatchFindings;

fn node() -> SocketAddr {
    ([127, 0, 0, 1], 4_000).into()
}

// A node restarts during an outage of the platform and comes up with the
// version it finds at a slow peer, which is older than the one it had.
#[test]
fn a_restart_that_falls_back_is_seen() {
    let now = Instant::now();
    let mut findings = WatchFindings::default();
    for version in [5, 0, 0, 4, 5] {
        findings.see(node(), version, now);
    }
    assert_eq!(findings.older_versions, 1);
}

#[test]
fn a_restart_without_a_version_is_no_fall_back() {
    let now = Instant::now();
    let mut findings = WatchFindings::default();
    for version in [5, 0, 5, 6] {
        findings.see(node(), version, now);
    }
    assert_eq!(findings.older_versions, 0);
}

#[test]
fn a_skipped_version_counts_as_reached() {
    let start = Instant::now();
    let mut findings = WatchFindings::default();
    findings.see(node(), 1, start);
    findings.see(node(), 3, start + Duration::from_millis(7));
    findings.see(node(), 3, start + Duration::from_millis(9));
    let reached = |version| findings.reached[&(node(), version)].duration_since(start);
    assert_eq!(reached(2), Duration::from_millis(7));
    assert_eq!(reached(3), Duration::from_millis(7));
}
