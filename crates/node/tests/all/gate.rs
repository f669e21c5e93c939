//! Which start of the backend server lives, and whether it takes work.

use std::time::Duration;

use geranium_node::{
    door::{EndpointGate, EndpointReport, RefusalReason, ReportState, ReportVerdict},
    member::{MemberRecord, MemberState},
};

const GRACE: Duration = Duration::from_millis(800);

fn report(instance: &str, sequence: u64, state: ReportState) -> EndpointReport {
    EndpointReport {
        instance: instance.to_owned(),
        service: "prices".to_owned(),
        data_centre: "hofdi".to_owned(),
        slots: 12,
        state,
        cold: Duration::ZERO,
        sequence,
    }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn refusal(gate: &EndpointGate, now: Duration, instance: &str) -> Option<RefusalReason> {
    gate.admits(now, Some(instance), GRACE).err()
}

#[test]
fn it_is_shut_until_somebody_reports() {
    let mut gate = EndpointGate::default();
    assert_eq!(refusal(&gate, at(0), "i-1"), Some(RefusalReason::Shut));
    gate.report(at(1), report("i-1", 1, ReportState::Ready));
    assert_eq!(refusal(&gate, at(1), "i-1"), None);
    assert_eq!(
        refusal(&gate, at(1), "i-0"),
        Some(RefusalReason::OtherInstance)
    );
}

/// A backend server says that it is leaving. A heartbeat from before comes
/// after that. It must not open the door again; a later one may.
#[test]
fn late_reports_do_not_undo_a_leaving() {
    let mut gate = EndpointGate::default();
    gate.report(at(0), report("i-1", 4, ReportState::Ready));
    assert_eq!(
        gate.report(at(10), report("i-1", 6, ReportState::Leaving)),
        ReportVerdict::Changed
    );
    assert_eq!(
        gate.report(at(20), report("i-1", 5, ReportState::Ready)),
        ReportVerdict::Stale
    );
    assert_eq!(
        refusal(&gate, at(30), "i-1"),
        None,
        "the news are still on their way"
    );
    assert_eq!(refusal(&gate, at(900), "i-1"), Some(RefusalReason::Leaving));
    gate.report(at(950), report("i-1", 7, ReportState::Leaving));
    assert_eq!(refusal(&gate, at(960), "i-1"), Some(RefusalReason::Leaving));
    gate.report(at(1_000), report("i-1", 8, ReportState::Ready));
    assert_eq!(refusal(&gate, at(1_000), "i-1"), None);
}

/// A farewell is for good: no heartbeat of that start brings it back.
#[test]
fn a_farewell_is_for_good() {
    let mut gate = EndpointGate::default();
    gate.report(at(0), report("i-1", 1, ReportState::Ready));
    assert!(gate.deregister(at(10), "i-1"));
    gate.report(at(20), report("i-1", 9, ReportState::Ready));
    assert_eq!(
        refusal(&gate, at(2_000), "i-1"),
        Some(RefusalReason::Leaving)
    );
    assert!(!gate.deregister(at(30), "i-0"));
}

/// A heartbeat held up by a cut arrives after its sender has crashed and the
/// next start has reported.
#[test]
fn an_ended_start_stays_ended() {
    let mut gate = EndpointGate::default();
    gate.report(at(0), report("i-1", 9, ReportState::Ready));
    assert_eq!(
        gate.report(at(10), report("i-2", 1, ReportState::Ready)),
        ReportVerdict::Adopted
    );
    assert_eq!(
        gate.report(at(20), report("i-1", 10, ReportState::Ready)),
        ReportVerdict::Stale
    );
    assert_eq!(refusal(&gate, at(30), "i-2"), None);
}

/// After a restart of the node a heartbeat of an earlier start comes first.
/// The backend server itself refuses the next request and names itself: its
/// heartbeats count again.
#[test]
fn the_backend_server_has_the_last_word() {
    let mut gate = EndpointGate::default();
    gate.report(at(0), report("i-2", 3, ReportState::Ready));
    gate.report(at(10), report("i-1", 9, ReportState::Ready));
    assert_eq!(
        gate.report(at(20), report("i-2", 4, ReportState::Ready)),
        ReportVerdict::Stale
    );
    gate.corrected("i-2");
    assert_eq!(refusal(&gate, at(30), "i-1"), Some(RefusalReason::Shut));
    assert_eq!(
        gate.report(at(40), report("i-2", 5, ReportState::Ready)),
        ReportVerdict::Adopted
    );
    assert_eq!(
        gate.report(at(50), report("i-1", 10, ReportState::Ready)),
        ReportVerdict::Stale
    );
}

/// A restarted node finds its own announcement: one that was leaving binds it,
/// one that was ready is believed when it reports.
#[test]
fn only_a_leaving_is_restored() {
    let record = |state| MemberRecord {
        hop: "10.1.0.4:7600".parse().expect("an address"),
        instance: "i-1".to_owned(),
        service: "prices".to_owned(),
        data_centre: "hofdi".to_owned(),
        slots: 12,
        state,
        link_mbps: 100,
        cold_ms: 0,
        sequence: 6,
    };
    let mut gate = EndpointGate::default();
    gate.restore(at(0), &record(MemberState::Ready));
    assert_eq!(refusal(&gate, at(0), "i-1"), Some(RefusalReason::Shut));
    gate.restore(at(0), &record(MemberState::Leaving));
    // Since when it has been leaving isn't known: no time is left.
    assert_eq!(refusal(&gate, at(5), "i-1"), Some(RefusalReason::Leaving));
    gate.report(at(10), report("i-1", 5, ReportState::Ready));
    assert_eq!(
        refusal(&gate, at(2_000), "i-1"),
        Some(RefusalReason::Leaving)
    );
}

/// A node acknowledges a leaving and is restarted; other nodes tell it old news,
/// in which its backend server was ready. The next heartbeat says leaving. Since
/// when isn't known, so no time is left in which work would still be taken.
#[test]
fn one_first_heard_of_as_leaving_takes_no_work() {
    let mut gate = EndpointGate::default();
    gate.report(at(200), report("i-1", 16, ReportState::Leaving));
    assert_eq!(refusal(&gate, at(200), "i-1"), Some(RefusalReason::Leaving));
    gate.report(at(300), report("i-1", 17, ReportState::Ready));
    assert_eq!(refusal(&gate, at(300), "i-1"), None);
}
