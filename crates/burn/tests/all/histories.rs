//! Tests of windows, missing counts and changed objectives.

use std::time::Duration;

use geranium_burn::{BurnReport, BurnTracker, ServiceBurn, Urgency};

use crate::support::{MONTH, counts, missing, node, objectives, sample};

fn verdskra_burn(report: &BurnReport) -> &ServiceBurn {
    let mut services = report.services.iter();
    let found = services.find(|one| one.service.as_str() == "verdskra");
    found.expect("the service has an objective")
}

/// Every response is bad for ten minutes, then the fault is repaired. The page
/// must start while the fault lasts, and end minutes after the repair although
/// the slow window still includes the bad responses.
#[test]
fn a_page_ends_soon_after_the_repair() {
    let mut tracker = BurnTracker::new(MONTH);
    let mut urgencies = Vec::new();
    let (mut good, mut bad) = (0, 0);
    // One response in ten may be bad, so the burn is at most 10, and only the
    // rule of 6 over 6 h and 30 m pages.
    for minute in 0..=120 {
        if (1..=10).contains(&minute) {
            bad += 100;
        } else {
            good += 2;
        }
        tracker.add(sample(minute, [node("hofdi-1", 1, counts(good, bad, 0))]));
        urgencies.push(verdskra_burn(&BurnReport::from(&tracker)).urgency);
    }
    assert_eq!(urgencies[10], Urgency::Page);
    assert_eq!(urgencies[45], Urgency::Ticket);
    let report = BurnReport::from(&tracker);
    assert!(verdskra_burn(&report).availability.rules[1].slow_burn > Some(6.0));
    assert_eq!(
        verdskra_burn(&report).availability.rules[1].fast_burn,
        Some(0.0)
    );
}

/// Samples are added every ten seconds for a day, so older intervals are merged.
/// The budget must still count each response once, and the window of an hour
/// must contain exactly the last hour.
#[test]
fn merged_intervals_lose_nothing() {
    let mut tracker = BurnTracker::new(MONTH);
    let steps = 8_640;
    for step in 0..=steps {
        let mut next = sample(0, [node("hofdi-1", 1, counts(step * 9, step, 0))]);
        next.at_ms = step * 10_000;
        tracker.add(next);
    }
    let history = tracker.history();
    assert!(history.within(MONTH).count() < 1_000);
    let hour = history.within(Duration::from_secs(3_600));
    assert_eq!(hour.count(), 360);
    let report = BurnReport::from(&tracker);
    let availability = &verdskra_burn(&report).availability;
    assert_eq!(
        (availability.violations, availability.total),
        (steps, steps * 10)
    );
    assert_eq!(report.covered_ms, steps * 10_000);
}

/// An operator lowers a service's latency objective from 1 s to 250 ms. Responses
/// that were fast by the old objective must still count as fast.
#[test]
fn responses_count_by_the_objective_of_their_time() {
    let mut tracker = BurnTracker::new(MONTH);
    for minute in 0..=4 {
        let mut next = sample(
            minute,
            [node("hofdi-1", 1, counts(minute * 10, 0, minute * 5))],
        );
        next.objectives = objectives(if minute <= 2 { 1_000 } else { 250 });
        tracker.add(next);
    }
    let report = BurnReport::from(&tracker);
    assert!(verdskra_burn(&report).objective_changed);
    assert_eq!(verdskra_burn(&report).latency.violations, 10);
}

/// A node can't be read in one sample and can in the next, without a restart. Its
/// counters include the time between, so the report is complete again.
#[test]
fn a_node_that_comes_back_has_lost_nothing() {
    let mut tracker = BurnTracker::new(MONTH);
    tracker.add(sample(0, [node("hofdi-1", 1, counts(10, 0, 0))]));
    let mut unread = sample(1, []);
    unread.missing.push(missing("hofdi-1"));
    tracker.add(unread);
    let report = BurnReport::from(&tracker);
    assert!(report.partial);
    assert_eq!(report.result().number(), 504);
    tracker.add(sample(2, [node("hofdi-1", 1, counts(25, 1, 0))]));
    let report = BurnReport::from(&tracker);
    assert!(!report.partial);
    assert_eq!(verdskra_burn(&report).availability.total, 16);
}

/// A node is missing from the first of two samples, so its responses between them
/// are unknown, and the other node is gone by the second, so its last counts are
/// lost. The report must be partial for the next hour; after that, the nodes only
/// show in a number, since instances fail daily.
#[test]
fn losses_make_the_report_partial_for_an_hour() {
    let mut tracker = BurnTracker::new(MONTH);
    let mut first = sample(0, [node("hofdi-1", 1, counts(1, 0, 0))]);
    first.missing.push(missing("hofdi-2"));
    tracker.add(first);
    tracker.add(sample(1, [node("hofdi-2", 1, counts(50, 0, 0))]));
    let report = BurnReport::from(&tracker);
    let names: Vec<_> = report.missing.iter().map(ToString::to_string).collect();
    assert_eq!(names.len(), 2, "{names:?}");
    assert!(names[0].starts_with("hofdi-1: left the fleet"), "{names:?}");
    assert_eq!(verdskra_burn(&report).availability.total, 0);
    for minute in [30, 59, 100, 101] {
        tracker.add(sample(minute, [node("hofdi-2", 1, counts(50, 0, 0))]));
    }
    let report = BurnReport::from(&tracker);
    assert_eq!((report.partial, report.older_missing), (false, 1));
}
