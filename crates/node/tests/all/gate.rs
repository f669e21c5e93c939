//! Tracking of the backend server's starts, and whether requests are admitted.

use std::time::Duration;

use geranium_node::{
    inbound::{EndpointReport, EndpointTracker, RefusalReason, ReportOutcome, ReportState},
    member::{MemberRecord, MemberState},
};

use crate::support::{self, at, born, start};

const GRACE: Duration = Duration::from_millis(800);

/// Time of day in the tests, in Unix milliseconds.
const TODAY: u64 = 1_764_720_000_000;

fn report(instance: &str, sequence: u64, state: ReportState) -> EndpointReport {
    EndpointReport {
        start: start(instance),
        service: "prices".to_owned(),
        data_centre: "hofdi".to_owned(),
        version: None,
        slots: 12,
        state,
        cold: Duration::ZERO,
        sequence,
    }
}

fn refusal(tracker: &EndpointTracker, now: Duration, instance: &str) -> Option<RefusalReason> {
    tracker.admits(now, Some(instance), GRACE).err()
}

#[test]
fn requests_are_refused_until_the_first_report() {
    let mut tracker = EndpointTracker::default();
    assert_eq!(refusal(&tracker, at(0), "i-1"), Some(RefusalReason::Shut));
    tracker.report(at(1), report("i-1", 1, ReportState::Ready));
    assert_eq!(refusal(&tracker, at(1), "i-1"), None);
    assert_eq!(
        refusal(&tracker, at(1), "i-0"),
        Some(RefusalReason::OtherInstance)
    );
}

/// Guards against a heartbeat that is older than the announcement of leaving and undoes it. A
/// later heartbeat may undo it.
#[test]
fn stale_reports_do_not_undo_leaving() {
    let mut tracker = EndpointTracker::default();
    tracker.report(at(0), report("i-1", 4, ReportState::Ready));
    assert_eq!(
        tracker.report(at(10), report("i-1", 6, ReportState::Leaving)),
        ReportOutcome::Changed
    );
    assert_eq!(
        tracker.report(at(20), report("i-1", 5, ReportState::Ready)),
        ReportOutcome::Stale
    );
    assert_eq!(
        refusal(&tracker, at(30), "i-1"),
        None,
        "the announcement is still reaching the other nodes"
    );
    assert_eq!(
        refusal(&tracker, at(900), "i-1"),
        Some(RefusalReason::Leaving)
    );
    tracker.report(at(950), report("i-1", 7, ReportState::Leaving));
    assert_eq!(
        refusal(&tracker, at(960), "i-1"),
        Some(RefusalReason::Leaving)
    );
    tracker.report(at(1_000), report("i-1", 8, ReportState::Ready));
    assert_eq!(refusal(&tracker, at(1_000), "i-1"), None);
}

/// Guards against a heartbeat that readmits requests to a start that has deregistered.
#[test]
fn a_deregistration_is_final() {
    let mut tracker = EndpointTracker::default();
    tracker.report(at(0), report("i-1", 1, ReportState::Ready));
    assert!(tracker.deregister(at(10), start("i-1"), TODAY));
    tracker.report(at(20), report("i-1", 9, ReportState::Ready));
    assert_eq!(
        refusal(&tracker, at(2_000), "i-1"),
        Some(RefusalReason::Leaving)
    );
    assert!(!tracker.deregister(at(30), start("i-0"), TODAY));
}

/// Guards against adopting a crashed start because its delayed heartbeat arrives after the next
/// start has reported.
#[test]
fn an_ended_start_stays_ended() {
    let mut tracker = EndpointTracker::default();
    tracker.report(at(0), report("i-1", 9, ReportState::Ready));
    assert_eq!(
        tracker.report(at(10), report("i-2", 1, ReportState::Ready)),
        ReportOutcome::Adopted
    );
    assert_eq!(
        tracker.report(at(20), report("i-1", 10, ReportState::Ready)),
        ReportOutcome::Stale
    );
    assert_eq!(refusal(&tracker, at(30), "i-2"), None);
}

/// Guards against a late heartbeat of an earlier start that blocks the running start for good.
#[test]
fn the_backend_server_has_the_last_word() {
    let mut tracker = EndpointTracker::default();
    tracker.report(at(0), report("i-2", 3, ReportState::Ready));
    tracker.report(at(10), report("i-1", 9, ReportState::Ready));
    assert_eq!(
        tracker.report(at(20), report("i-2", 4, ReportState::Ready)),
        ReportOutcome::Stale
    );
    tracker.record_instance("i-2");
    assert_eq!(refusal(&tracker, at(30), "i-1"), Some(RefusalReason::Shut));
    assert_eq!(
        tracker.report(at(40), report("i-2", 5, ReportState::Ready)),
        ReportOutcome::Adopted
    );
    assert_eq!(
        tracker.report(at(50), report("i-1", 10, ReportState::Ready)),
        ReportOutcome::Stale
    );
}

/// Guards against a restarted node that forgets that it announced its backend server as leaving. A
/// ready start is accepted only when it reports.
#[test]
fn only_a_leaving_record_is_restored() {
    let record = |state| MemberRecord {
        state,
        sequence: 6,
        ..support::record(1)
    };
    let mut tracker = EndpointTracker::default();
    tracker.restore(at(0), &record(MemberState::Ready));
    assert_eq!(refusal(&tracker, at(0), "i-1"), Some(RefusalReason::Shut));
    tracker.restore(at(0), &record(MemberState::Leaving));
    // The time at which it began to leave isn't known, so no grace time is left.
    assert_eq!(
        refusal(&tracker, at(5), "i-1"),
        Some(RefusalReason::Leaving)
    );
    tracker.report(at(10), report("i-1", 5, ReportState::Ready));
    assert_eq!(
        refusal(&tracker, at(2_000), "i-1"),
        Some(RefusalReason::Leaving)
    );
}

fn own_record(born_ms: u64, state: MemberState, is_final: bool) -> MemberRecord {
    MemberRecord {
        start: born("i-1", born_ms),
        state,
        is_final,
        sequence: 6,
        ..support::record(1)
    }
}

/// Guards against a heartbeat from before a restart of the node that readmits requests to a start
/// which had left for good, whether it arrives before or after the announcement.
#[test]
fn a_start_that_left_for_good_stays_so_after_a_restart() {
    let record = own_record(TODAY, MemberState::Leaving, true);
    let late = || born_report(TODAY, 900, ReportState::Ready);
    for report_first in [false, true] {
        let mut tracker = EndpointTracker::default();
        if report_first {
            tracker.report(at(0), late());
        }
        tracker.restore(at(0), &record);
        if !report_first {
            tracker.report(at(0), late());
        }
        tracker.report(at(10), born_report(TODAY, 901, ReportState::Ready));
        assert_eq!(
            refusal(&tracker, at(5_000), "i-1"),
            Some(RefusalReason::Leaving)
        );
        let current = tracker.current().expect("the start is known");
        assert!(current.has_left_for_good());
        let next = born_report(TODAY + 9_000, 1, ReportState::Ready);
        assert_eq!(tracker.report(at(9_000), next), ReportOutcome::Adopted);
        assert_eq!(refusal(&tracker, at(9_000), "i-1"), None);
    }
}

/// Guards against a backend server that is never used because the one before it at this address left,
/// and began later by another machine's clock.
#[test]
fn a_start_after_one_that_left_is_used_whatever_the_clocks_say() {
    let mut tracker = EndpointTracker::default();
    tracker.restore(at(0), &own_record(TODAY, MemberState::Leaving, true));
    let next = EndpointReport {
        start: born("i-2", TODAY - 60_000),
        ..report("i-2", 1, ReportState::Ready)
    };
    assert_eq!(tracker.report(at(10), next), ReportOutcome::Adopted);
    assert_eq!(refusal(&tracker, at(10), "i-2"), None);
    let late = born_report(TODAY, 900, ReportState::Ready);
    assert_eq!(tracker.report(at(20), late), ReportOutcome::Stale);
}

/// Guards against a deregistration that a second restart forgets, because no heartbeat came between
/// the first one and the deregistration.
#[test]
fn a_deregistration_of_the_announced_start_counts() {
    let mut tracker = EndpointTracker::default();
    tracker.restore(at(0), &own_record(TODAY, MemberState::Ready, false));
    assert!(tracker.deregister(at(10), born("i-1", TODAY), TODAY + 10));
    let current = tracker.current().expect("the start is known");
    assert!(current.has_left_for_good());
    assert_eq!(
        refusal(&tracker, at(20), "i-1"),
        Some(RefusalReason::Leaving)
    );
}

/// Guards against an announcement of this process that ends the leaving or the service of the start
/// that it is about.
#[test]
fn own_announcements_change_nothing() {
    let mut tracker = EndpointTracker::default();
    tracker.report(at(0), born_report(TODAY, 6, ReportState::Ready));
    // A stopping node announces its backend server as leaving.
    tracker.restore(at(10), &own_record(TODAY, MemberState::Leaving, false));
    assert_eq!(refusal(&tracker, at(5_000), "i-1"), None);
    tracker.deregister(at(5_010), born("i-1", TODAY), TODAY + 10);
    tracker.restore(at(5_020), &own_record(TODAY, MemberState::Ready, false));
    assert_eq!(
        refusal(&tracker, at(9_000), "i-1"),
        Some(RefusalReason::Leaving)
    );
}

/// Guards against a deregistration that is never announced, as its start is unknown to this process.
#[test]
fn a_deregistration_of_an_unknown_start_is_kept() {
    let left = || EndpointReport {
        start: born("i-1", TODAY + 500),
        ..report("i-1", 0, ReportState::Leaving)
    };
    let mut tracker = EndpointTracker::default();
    assert!(!tracker.deregister(at(10), start("i-1"), TODAY + 500));
    assert!(tracker.adopt_unreported(at(10), left()));
    let current = tracker.current().expect("the start is known");
    assert!(current.has_left_for_good());
    let late = born_report(TODAY, 41, ReportState::Ready);
    assert_eq!(tracker.report(at(20), late), ReportOutcome::Stale);
    assert_eq!(
        refusal(&tracker, at(30), "i-1"),
        Some(RefusalReason::Leaving)
    );
    let next = born_report(TODAY + 900, 1, ReportState::Ready);
    assert_eq!(tracker.report(at(900), next), ReportOutcome::Adopted);
    assert!(!tracker.adopt_unreported(at(910), left()));
    assert_eq!(refusal(&tracker, at(920), "i-1"), None);
}

/// Guards against a late deregistration of an earlier start that forgets the announced one.
#[test]
fn a_deregistration_of_another_start_leaves_the_announced_one() {
    let mut tracker = EndpointTracker::default();
    tracker.restore(at(0), &own_record(TODAY, MemberState::Ready, false));
    assert!(!tracker.deregister(at(10), born("i-0", TODAY - 500), TODAY));
    assert!(tracker.deregister(at(20), start("i-1"), TODAY + 20));
}

/// Guards against a second grace time for a start whose leaving an earlier process acknowledged, when a
/// late heartbeat comes before the announcement.
#[test]
fn a_restored_leaving_has_no_grace_time() {
    for is_final in [false, true] {
        let mut tracker = EndpointTracker::default();
        tracker.report(at(0), born_report(TODAY, 5, ReportState::Ready));
        assert!(tracker.restore(at(10), &own_record(TODAY, MemberState::Leaving, is_final)));
        assert_eq!(
            refusal(&tracker, at(10), "i-1"),
            Some(RefusalReason::Leaving)
        );
    }
}

/// Guards against a response that names the instance of a start which has left, and lets a late heartbeat
/// readmit it.
#[test]
fn a_start_that_left_stays_ended_when_a_response_names_it() {
    for is_deregistered in [false, true] {
        let mut tracker = EndpointTracker::default();
        tracker.report(at(0), report("i-1", 4, ReportState::Ready));
        if is_deregistered {
            tracker.deregister(at(10), start("i-1"), TODAY);
        } else {
            tracker.report(at(10), report("i-1", 6, ReportState::Leaving));
        }
        tracker.record_instance("i-2");
        tracker.record_instance("i-1");
        let late = report("i-1", 5, ReportState::Ready);
        assert_eq!(tracker.report(at(20), late), ReportOutcome::Stale);
        assert_eq!(refusal(&tracker, at(30), "i-1"), Some(RefusalReason::Shut));
    }
}

/// Guards against an announcement of a stopping node that stands for a later leaving of its backend
/// server: a late heartbeat that is numbered between the two would count after a restart.
#[test]
fn an_announcement_of_a_stopping_node_covers_no_later_leaving() {
    let stopping = MemberRecord {
        sequence: 1,
        ..own_record(TODAY, MemberState::Leaving, false)
    };
    let leaving = own_record(TODAY, MemberState::Leaving, false);
    assert!(!stopping.covers(&leaving));
    assert!(leaving.covers(&stopping));
    let ready = own_record(TODAY, MemberState::Ready, false);
    let later = MemberRecord {
        sequence: 90,
        ..ready.clone()
    };
    assert!(ready.covers(&later));
}

/// Guards against a restarted node that admits requests to a start first reported as leaving.
#[test]
fn one_first_heard_of_as_leaving_takes_no_work() {
    let mut tracker = EndpointTracker::default();
    tracker.report(at(200), report("i-1", 16, ReportState::Leaving));
    assert_eq!(
        refusal(&tracker, at(200), "i-1"),
        Some(RefusalReason::Leaving)
    );
    tracker.report(at(300), report("i-1", 17, ReportState::Ready));
    assert_eq!(refusal(&tracker, at(300), "i-1"), None);
}

fn born_report(born_ms: u64, sequence: u64, state: ReportState) -> EndpointReport {
    EndpointReport {
        start: born("i-1", born_ms),
        ..report("i-1", sequence, state)
    }
}

/// Guards against treating a new start's heartbeats as stale ones of the previous start.
#[test]
fn a_start_under_the_same_identifier_takes_work_at_once() {
    let mut tracker = EndpointTracker::default();
    tracker.report(at(0), born_report(TODAY, 40, ReportState::Ready));
    tracker.report(at(10), born_report(TODAY, 41, ReportState::Leaving));
    let next = born_report(TODAY + 9_000, 1, ReportState::Ready);
    assert_eq!(tracker.report(at(9_000), next), ReportOutcome::Adopted);
    assert_eq!(refusal(&tracker, at(9_000), "i-1"), None);
}

/// Guards against a crashed start's delayed heartbeat that blocks the next start.
#[test]
fn a_late_heartbeat_of_the_same_identifier_changes_nothing() {
    let mut tracker = EndpointTracker::default();
    tracker.report(at(0), born_report(TODAY, 40, ReportState::Ready));
    let next = born_report(TODAY + 9_000, 1, ReportState::Ready);
    tracker.report(at(9_000), next);
    let late = born_report(TODAY, 41, ReportState::Leaving);
    assert_eq!(tracker.report(at(9_010), late), ReportOutcome::Stale);
    assert_eq!(refusal(&tracker, at(12_000), "i-1"), None);
}

/// Guards against an acknowledged leaving that isn't applied, as the backend server's clock was set back
/// before it started again under its identifier.
#[test]
fn a_start_with_an_earlier_clock_leaves() {
    let mut tracker = EndpointTracker::default();
    tracker.report(at(0), born_report(TODAY, 40, ReportState::Ready));
    for (sequence, outcome) in [(2, ReportOutcome::Changed), (3, ReportOutcome::Unchanged)] {
        let leaving = born_report(TODAY - 60_000, sequence, ReportState::Leaving);
        assert_eq!(tracker.report(at(9_000), leaving), outcome);
    }
    let late = born_report(TODAY - 60_000, 1, ReportState::Ready);
    assert_eq!(tracker.report(at(9_010), late), ReportOutcome::Stale);
    let left = Some(RefusalReason::Leaving);
    assert_eq!(refusal(&tracker, at(9_000) + GRACE, "i-1"), left);
}

/// Guards against a deregistration that isn't applied, as the backend server's clock was set back.
#[test]
fn a_start_with_an_earlier_clock_deregisters() {
    let mut tracker = EndpointTracker::default();
    tracker.report(at(0), born_report(TODAY, 40, ReportState::Ready));
    let earlier = born("i-1", TODAY - 60_000);
    assert!(tracker.deregister(at(9_000), earlier, TODAY - 51_000));
    let left = Some(RefusalReason::Leaving);
    assert_eq!(refusal(&tracker, at(9_000) + GRACE, "i-1"), left);
}

/// Guards against a running start that is kept from requests by a late leaving of an earlier one.
#[test]
fn a_late_leaving_of_an_unknown_start_ends_with_the_next_report() {
    let mut tracker = EndpointTracker::default();
    tracker.report(at(0), born_report(TODAY, 40, ReportState::Ready));
    let late = born_report(TODAY - 60_000, 9, ReportState::Leaving);
    assert_eq!(tracker.report(at(100), late), ReportOutcome::Changed);
    let next = born_report(TODAY, 41, ReportState::Ready);
    assert_eq!(tracker.report(at(1_500), next), ReportOutcome::Changed);
    assert_eq!(refusal(&tracker, at(3_000), "i-1"), None);
}

/// Guards against a backend server that is never used again, as its clock stays behind after it was set
/// back.
#[test]
fn the_start_after_one_with_an_earlier_clock_takes_work() {
    let mut tracker = EndpointTracker::default();
    tracker.report(at(0), born_report(TODAY, 40, ReportState::Ready));
    let leaving = born_report(TODAY - 60_000, 2, ReportState::Leaving);
    tracker.report(at(9_000), leaving);
    let next = |sequence| born_report(TODAY - 40_000, sequence, ReportState::Ready);
    assert_eq!(tracker.report(at(20_000), next(1)), ReportOutcome::Adopted);
    assert_eq!(
        tracker.report(at(21_000), next(2)),
        ReportOutcome::Unchanged
    );
    assert_eq!(refusal(&tracker, at(21_000), "i-1"), None);
}

/// Guards against a repeated deregistration that ends the next start of the same identifier.
#[test]
fn a_deregistration_ends_one_start_of_an_identifier() {
    let mut tracker = EndpointTracker::default();
    tracker.report(at(0), born_report(TODAY, 40, ReportState::Ready));
    assert!(tracker.deregister(at(10), born("i-1", TODAY), TODAY + 10));
    let next = born_report(TODAY + 9_000, 1, ReportState::Ready);
    assert_eq!(tracker.report(at(9_000), next), ReportOutcome::Adopted);
    assert!(!tracker.deregister(at(9_010), born("i-1", TODAY), TODAY + 9_010));
    assert_eq!(refusal(&tracker, at(12_000), "i-1"), None);
}

/// Guards against readmitting requests to a start that has deregistered.
#[test]
fn a_deregistration_without_a_start_time_ends_earlier_starts() {
    let mut tracker = EndpointTracker::default();
    assert!(!tracker.deregister(at(10), start("i-1"), TODAY + 500));
    let late = born_report(TODAY, 41, ReportState::Ready);
    assert_eq!(tracker.report(at(20), late), ReportOutcome::Stale);
    let next = born_report(TODAY + 900, 1, ReportState::Ready);
    assert_eq!(tracker.report(at(900), next), ReportOutcome::Adopted);
    assert_eq!(refusal(&tracker, at(901), "i-1"), None);
}

/// Guards against an earlier start that reports first after a restart and blocks the running
/// start.
#[test]
fn the_later_start_is_kept_whichever_reports_first() {
    let mut tracker = EndpointTracker::default();
    let mut late = born_report(TODAY, 41, ReportState::Ready);
    late.start = born("i-0", TODAY);
    tracker.report(at(0), late.clone());
    let lives = born_report(TODAY + 9_000, 7, ReportState::Ready);
    assert_eq!(tracker.report(at(10), lives), ReportOutcome::Adopted);
    late.sequence += 1;
    assert_eq!(tracker.report(at(20), late), ReportOutcome::Stale);
    assert_eq!(refusal(&tracker, at(30), "i-1"), None);
}

/// Guards against accepting a heartbeat that has the current start's identifier but names another
/// service, whatever its sequence number.
#[test]
fn a_start_keeps_its_service() {
    let mut tracker = EndpointTracker::default();
    tracker.report(at(0), report("i-1", 4, ReportState::Ready));
    let mut foreign = report("i-1", 900, ReportState::Leaving);
    foreign.service = "till".to_owned();
    assert_eq!(tracker.report(at(10), foreign), ReportOutcome::Foreign);
    let own = report("i-1", 5, ReportState::Ready);
    assert_eq!(tracker.report(at(20), own), ReportOutcome::Unchanged);
    assert_eq!(refusal(&tracker, at(3_000), "i-1"), None);
}

/// Guards against a heartbeat that readmits requests to a start that has said in a response that it
/// leaves. A later start isn't bound by that.
#[test]
fn leaving_by_response_is_final_for_its_start() {
    let mut tracker = EndpointTracker::default();
    tracker.report(at(0), born_report(TODAY, 4, ReportState::Ready));
    assert!(tracker.record_leaving(at(10), &born("i-1", TODAY), TODAY + 10));
    assert!(!tracker.record_leaving(at(20), &born("i-1", TODAY), TODAY + 20));
    tracker.report(at(30), born_report(TODAY, 5, ReportState::Ready));
    assert_eq!(refusal(&tracker, at(30), "i-1"), None, "the grace time");
    let leaving = Some(RefusalReason::Leaving);
    assert_eq!(refusal(&tracker, at(900), "i-1"), leaving);
    let next = born_report(TODAY + 9_000, 1, ReportState::Ready);
    assert_eq!(tracker.report(at(9_000), next), ReportOutcome::Adopted);
    assert_eq!(refusal(&tracker, at(9_001), "i-1"), None);
    assert!(!tracker.record_leaving(at(9_010), &born("i-1", TODAY), TODAY + 8_000));
    assert_eq!(refusal(&tracker, at(12_000), "i-1"), None);
}

/// Guards against a leaving that counts for the start before, because the backend server started again
/// under its identifier and said so in a response before its first heartbeat.
#[test]
fn leaving_by_response_counts_for_the_start_that_said_so() {
    let next = || born_report(TODAY + 1_000, 1, ReportState::Ready);
    for is_reported_first in [false, true] {
        let mut tracker = EndpointTracker::default();
        tracker.report(at(0), born_report(TODAY, 4, ReportState::Ready));
        if is_reported_first {
            tracker.report(at(1_400), next());
        }
        tracker.record_leaving(at(1_400), &born("i-1", TODAY), TODAY + 1_200);
        if !is_reported_first {
            tracker.report(at(1_500), next());
        }
        let current = tracker.current().expect("the start is known");
        assert!(current.has_left_for_good());
        assert_eq!(
            refusal(&tracker, at(3_400), "i-1"),
            Some(RefusalReason::Leaving)
        );
    }
}
