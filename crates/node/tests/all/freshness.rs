//! Proofs of freshness over drawn faults of the store, relays and followers.

mod fault;
mod model;
mod node_model;
mod store_model;

use std::time::Duration;

use geranium_node::{
    config::ConfigVersion,
    distribution::{UpdateRequest, UpdateResponse},
    freshness::{
        ConfigProof, DocumentEvent, FreshnessTracker, ProofSource, RelayedProof, StoreView,
    },
    member::MemberUpdate,
    store::{Revision, StoreEra},
};

use proptest::{prelude::*, strategy::ValueTree};

use crate::support::at;
use fault::{Counting, Event, Fault};
use model::{Model, STEP};

const CENTRES: usize = 2;
const CENTRE_SIZE: usize = 3;
/// Time in which every node of a new fleet has a proof.
const START_TIME: Duration = Duration::from_millis(2_500);
/// Time in which faults begin.
const FAULTS_END: u64 = 30_000;
/// Longest fault.
const FAULT_MAX: u64 = 12_000;
/// Time after the last fault in which every node has a proof again.
const RECOVERY_TIME: Duration = Duration::from_secs(9);
/// Histories in which a loose variant has to be found.
const HISTORIES: u64 = 200;

const FAULTS: [Fault; 15] = [
    Fault::OtherWrite,
    Fault::Revoke,
    Fault::Revoke,
    Fault::Revoke,
    Fault::Revoke,
    Fault::CutStore,
    Fault::CutPeers,
    Fault::CutBoth,
    Fault::CutBoth,
    Fault::Freeze,
    Fault::Restart,
    Fault::Die,
    Fault::StoreAway,
    Fault::SilentWatch,
    Fault::OlderCopy,
];

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = (
        prop::sample::select(&FAULTS[..]),
        4_000..FAULTS_END,
        0..CENTRES * CENTRE_SIZE,
        100..FAULT_MAX,
    );
    let event = event.prop_map(|(fault, begins, node, lasts)| Event {
        at: at(begins),
        fault,
        node,
        lasts: at(lasts),
    });
    prop::collection::vec(event, 1..25)
}

/// Runs a history, and returns the first node that ran a revoked key too late.
fn late_node(counting: Counting, events: &[Event], seed: u64) -> Option<(usize, Duration)> {
    let mut model = Model::new(counting, CENTRES, CENTRE_SIZE, seed);
    while model.now < at(FAULTS_END + FAULT_MAX) {
        if let Some(node) = model.step(events) {
            return Some((node, model.now));
        }
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(100) })]

    /// Guards against a run with a revoked key after the bound, and against a node that serves no
    /// requests with a key after the faults have ended.
    #[test]
    fn no_run_is_late_whatever_fails(events in events(), seed in any::<u64>()) {
        let mut model = Model::new(Counting::Exact, CENTRES, CENTRE_SIZE, seed);
        while model.now < at(FAULTS_END + FAULT_MAX) + RECOVERY_TIME {
            let late = model.step(&events);
            prop_assert_eq!(late, None, "at {:?}", model.now);
        }
        for node in model.nodes() {
            prop_assert!(model.is_valid(node), "node {}", node);
        }
    }

    /// Guards against refusals and own checks while nothing is wrong, also while many versions and
    /// other keys are written.
    #[test]
    fn nothing_is_refused_without_a_fault(
        writes in prop::collection::vec((1_000..20_000_u64, any::<bool>()), 0..60),
        seed in any::<u64>(),
    ) {
        let events: Vec<Event> = writes.iter().map(write_event).collect();
        let mut model = Model::new(Counting::Exact, CENTRES, CENTRE_SIZE, seed);
        while model.now < at(22_000) {
            model.step(&events);
            if model.now > START_TIME {
                prop_assert!(model.nodes().all(|node| model.is_valid(node)), "at {:?}", model.now);
            }
        }
        prop_assert_eq!(model.own_checks, 0);
    }
}

fn write_event(&(begins, is_config): &(u64, bool)) -> Event {
    let fault = if is_config {
        Fault::Revoke
    } else {
        Fault::OtherWrite
    };
    Event {
        at: at(begins),
        fault,
        node: 0,
        lasts: STEP,
    }
}

/// Returns the first of the drawn histories that shows a variant as unsafe.
fn unsafe_history(counting: Counting) -> Option<u64> {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    (0..HISTORIES).find(|&seed| {
        let events = events().new_tree(&mut runner).expect("events can be drawn");
        late_node(counting, &events.current(), seed).is_some()
    })
}

/// Guards against a model that would not notice a proof that counts as more recent than it is.
#[test]
fn loose_variants_are_noticed() {
    assert_eq!(unsafe_history(Counting::Exact), None);
    for counting in [
        Counting::StoreFromReceipt,
        Counting::RelayFromReceipt,
        Counting::AgeAtArrival,
        Counting::SilentWatchTrusted,
    ] {
        let found = unsafe_history(counting);
        println!("{counting:?}: history {found:?}");
        assert!(found.is_some(), "{counting:?} isn't noticed");
    }
}

/// Guards against a model that would not notice a hold that counts twice: followers would call the
/// store though nothing is wrong.
#[test]
fn a_hold_that_counts_twice_is_noticed() {
    let mut model = Model::new(Counting::HoldCountedTwice, CENTRES, CENTRE_SIZE, 7);
    while model.now < at(20_000) {
        model.step(&[]);
    }
    assert!(model.own_checks > 0);
}

/// Guards against store calls whose number grows with the fleet.
#[test]
fn a_data_centre_makes_about_one_store_call_a_second() {
    for (centres, centre_size) in [(3, 10), (10, 30), (10, 156)] {
        let mut model = Model::new(Counting::Exact, centres, centre_size, 7);
        while model.now < at(3_000) {
            model.step(&[]);
        }
        let before = model.store_calls;
        while model.now < at(13_000) {
            model.step(&[]);
        }
        let each_s = f64::from(model.store_calls - before) / 10.0;
        println!("{centres} x {centre_size} nodes: {each_s} store calls a second");
        assert!(each_s <= 1.1 * centres as f64, "{each_s} calls a second");
    }
}

/// Guards against followers that all call the store again and again while their relay hangs.
#[test]
fn a_relay_that_hangs_costs_each_follower_few_calls() {
    let freeze = Event {
        at: at(5_000),
        fault: Fault::Freeze,
        node: 0,
        lasts: at(10_000),
    };
    let mut model = Model::new(Counting::Exact, 1, 156, 7);
    while model.now < at(16_000) {
        model.step(&[freeze]);
        if model.now > START_TIME && model.now < at(5_000) {
            assert_eq!(model.own_checks, 0);
        }
        assert!((1..156).all(|node| model.now < START_TIME || model.is_valid(node)));
    }
    println!("{} own checks of 155 followers", model.own_checks);
    assert!(model.own_checks <= 2 * 155, "{}", model.own_checks);
}

fn proof(version: u64, revision: Revision, confirmed_at: Duration) -> ConfigProof {
    ConfigProof {
        version: ConfigVersion(version),
        revision,
        confirmed_at,
    }
}

/// Guards against messages that change where no proofs are needed, and against messages that nodes
/// can't read that don't know proofs.
#[test]
fn messages_have_no_proof_where_none_is_needed() {
    let mut request = UpdateRequest {
        version: ConfigVersion(12),
        members: Revision(530),
        wait: at(2_000),
        knows_store_lost: false,
        proof_stamp: None,
        accepts_packed: false,
    };
    assert_eq!(request.to_string(), "12,530,2000,0");
    request.proof_stamp = Some(77);
    assert_eq!(request.to_string(), "12,530,2000,0,77");
    let mut response = UpdateResponse {
        store_age_ms: 5,
        store_lost: false,
        proof: None,
        config: None,
        crashes: Vec::new(),
        rollouts: Vec::new(),
        members: MemberUpdate::default(),
        packed_members: None,
        quota_owners: Vec::new(),
    };
    let text = serde_json::to_string(&response).expect("plain fields");
    assert!(!text.contains("proof"));
    let proof = proof(12, Revision(530), at(900));
    response.proof = Some(RelayedProof::new(&proof, at(1_000), at(1_950)));
    let text_with_proof = serde_json::to_string(&response).expect("plain fields");
    println!("{} and {} bytes", text.len(), text_with_proof.len());
    let decoded: UpdateResponse = serde_json::from_str(&text).expect("the field may be absent");
    assert_eq!(decoded.proof, None);
    let decoded: UpdateResponse = serde_json::from_str(&text_with_proof).expect("it was encoded");
    assert_eq!(decoded.proof, response.proof);
}

/// Guards against confirmations of an ended era, of a version that another node had replaced by
/// then, and of a store that lost a version.
#[test]
fn outdated_confirmations_count_for_nothing() {
    let era = |era, number| Revision::in_era(StoreEra(era), number);
    let mut tracker = FreshnessTracker::new(node_model::REVOKE_TIME, at(0));
    tracker.record_config(ConfigVersion(4));
    let mut confirm = |proof| tracker.record_proof(proof, ProofSource::Store);
    assert!(confirm(proof(4, era(1, 30), at(1_000))));
    assert!(!confirm(proof(3, era(2, 20), at(2_000))), "older version");
    assert!(!confirm(proof(4, era(1, 40), at(3_000))), "ended era");
    assert!(confirm(proof(4, era(2, 21), at(4_000))));
    assert!(!confirm(proof(4, era(2, 21), at(3_500))), "older proof");
    tracker.record_peer_version(ConfigVersion(5), at(5_000));
    let mut confirm = |proof| tracker.record_proof(proof, ProofSource::Store);
    assert!(confirm(proof(4, era(2, 22), at(4_900))), "sent before");
    assert!(!confirm(proof(4, era(2, 22), at(5_100))), "sent after");
}

/// Guards against responses of the store that confirm a configuration after a later document, which
/// this node couldn't put in force.
#[test]
fn a_refused_document_ends_the_proofs_of_the_earlier_one() {
    let mut tracker = FreshnessTracker::new(node_model::REVOKE_TIME, at(0));
    tracker.record_config(ConfigVersion(4));
    let mut counts = |view: &StoreView, sent_at| {
        let proof = view.proof(at(sent_at));
        proof.is_some_and(|proof| tracker.record_proof(proof, ProofSource::Store))
    };
    let known = StoreView::of_proof(&proof(4, Revision(30), at(500)));
    assert!(counts(&known, 1_000));
    let changes = [
        DocumentEvent::Written(ConfigVersion(5)),
        DocumentEvent::Unreadable,
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let mut view = known;
        view.record_batch(&[DocumentEvent::Other, change], Revision(31));
        assert!(!counts(&view, 2_000 + number as u64), "{change:?}");
        view.record_batch(&[DocumentEvent::Other], Revision(32));
        assert!(!counts(&view, 3_000 + number as u64), "{change:?}");
    }
    for version in [Some(ConfigVersion(5)), None] {
        let mut view = known;
        view.record_read(Some((version, Revision(31))), Revision(32));
        assert!(!counts(&view, 4_000), "{version:?}");
    }
    // Another node could read the document, and this node has it from there.
    tracker.record_config(ConfigVersion(5));
    let mut view = known;
    view.record_batch(&[changes[0]], Revision(31));
    let confirmed = view.proof(at(5_000)).expect("the version is readable");
    assert!(tracker.record_proof(confirmed, ProofSource::Store));
}
