//! Windows, losses and changed objectives.

use std::time::Duration;

use geranium_burn::{BurnReport, BurnTracker, ServiceBurn, Urgency};

use crate::support::{MONTH, counts, missing, node, objectives, sample};

fn prices(report: &BurnReport) -> &ServiceBurn {
    let mut services = report.services.iter();
    let found = services.find(|one| one.service.as_str() == "verdskra");
    found.expect("it is promised")
}

/// Every answer of ten minutes is bad, then the fault is mended. The page must
/// come while it lasts, and end minutes after the repair although the slow
/// window still holds the loss.
#[test]
fn a_page_ends_soon_after_the_repair() {
    let mut tracker = BurnTracker::new(MONTH);
    let mut verdicts = Vec::new();
    let (mut good, mut bad) = (0, 0);
    // One answer in ten may be bad, so a burn of 10 is the most there is: the
    // rule of 6 over 6 h and 30 m is the one that pages.
    for minute in 0..=120 {
        if (1..=10).contains(&minute) {
            bad += 100;
        } else {
            good += 2;
        }
        tracker.add(sample(minute, [node("hofdi-1", 1, counts(good, bad, 0))]));
        verdicts.push(prices(&BurnReport::from(&tracker)).urgency);
    }
    assert_eq!(verdicts[10], Urgency::Page);
    assert_eq!(verdicts[45], Urgency::Ticket);
    let report = BurnReport::from(&tracker);
    assert!(prices(&report).availability.rules[1].slow_burn > Some(6.0));
    assert_eq!(prices(&report).availability.rules[1].fast_burn, Some(0.0));
}

/// Samples come every ten seconds for a day, so older intervals get merged. The
/// budget must count each answer once all the same, and the hour's window must
/// hold the last hour.
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
    let availability = &prices(&report).availability;
    assert_eq!(
        (availability.violations, availability.total),
        (steps, steps * 10)
    );
    assert_eq!(report.covered_ms, steps * 10_000);
}

/// An operator tightens a service's latency from 1 s to 250 ms at noon. Answers
/// of the morning were fast by what was promised then and must stay so.
#[test]
fn answers_are_weighed_by_the_objective_of_their_time() {
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
    assert!(prices(&report).objective_changed);
    assert_eq!(prices(&report).latency.violations, 10);
}

/// A node can't be read for two samples and then again, without a restart. Its
/// counters held on to what happened, so the report is whole again.
#[test]
fn a_node_that_comes_back_has_lost_nothing() {
    let mut tracker = BurnTracker::new(MONTH);
    tracker.add(sample(0, [node("hofdi-1", 1, counts(10, 0, 0))]));
    let mut silent = sample(1, []);
    silent.missing.push(missing("hofdi-1"));
    tracker.add(silent);
    let report = BurnReport::from(&tracker);
    assert!(report.partial);
    assert_eq!(report.result().number(), 504);
    tracker.add(sample(2, [node("hofdi-1", 1, counts(25, 1, 0))]));
    let report = BurnReport::from(&tracker);
    assert!(!report.partial);
    assert_eq!(prices(&report).availability.total, 16);
}

/// The first of two samples lacks a node that the second one has. What it
/// answered between them can't be known, so the report may not call itself
/// whole. An instance that left takes its last counts along, likewise; a day
/// later that is a note, since instances fail daily.
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
    assert_eq!(prices(&report).availability.total, 0);
    for minute in [30, 59, 100, 101] {
        tracker.add(sample(minute, [node("hofdi-2", 1, counts(50, 0, 0))]));
    }
    let report = BurnReport::from(&tracker);
    assert_eq!((report.partial, report.older_losses), (false, 1));
}
