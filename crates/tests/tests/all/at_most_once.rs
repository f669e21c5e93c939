//! Orders and alerts that must not run twice.

use std::thread;

use geranium_model::{Outcome, ResultCode};
use geranium_rig::{PairPart, ProcessSignal};
use serde_json::json;

use crate::fleet::{Fleet, owner_of, wait_until};

const NODES: [&str; 4] = ["verdskra-1", "verdskra-2", "pantanir-1", "pantanir-2"];

/// A till sends one confirmation through four nodes at the same moment, since
/// the first seemed slow. One runs; the others get its answer.
#[test]
fn copies_sent_at_once_run_once_and_all_get_the_answer() {
    let fleet = Fleet::small();
    let ticket = fleet.ticket("verdskra-1");
    let answers: Vec<_> = thread::scope(|scope| {
        let copies: Vec<_> = NODES
            .iter()
            .map(|node| {
                let (fleet, ticket) = (&fleet, &ticket);
                scope.spawn(move || fleet.order(node, "/pantanir/orders/1?work_ms=300", ticket))
            })
            .collect();
        copies
            .into_iter()
            .map(|copy| copy.join().expect("a copy ends"))
            .collect()
    });
    for answer in answers {
        let answer = answer.expect("an answer");
        assert_eq!(
            (answer.status, answer.outcome),
            (200, Outcome::Ran),
            "{answer:?}"
        );
    }
    assert_eq!(fleet.runs_of_ticket(&ticket), 1);
}

/// The order was taken, then the node beside the backend server dies. The till
/// hears "maybe run" and resends through other nodes, before and after that
/// node is back. It must never run again.
#[test]
fn an_order_whose_node_was_killed_never_runs_again() {
    let mut fleet = Fleet::small();
    let ticket = fleet.ticket("verdskra-1");
    let owner = owner_of(&ticket);
    let path = "/pantanir/orders/2?work_ms=1500&late=1";
    thread::scope(|scope| {
        let first = scope.spawn({
            let (node, ticket) = (fleet.node("verdskra-2"), ticket.clone());
            move || {
                crate::caller::Call::post(node, path, "two boxes of cod")
                    .header(geranium_model::headers::TICKET, ticket)
                    .send()
            }
        });
        wait_until("the run", || fleet.runs_of_ticket(&ticket) == 1);
        fleet
            .pair_mut(&owner)
            .signal(PairPart::Node, ProcessSignal::Kill);
        let answer = first.join().expect("the till ends").expect("an answer");
        assert_eq!(answer.outcome, Outcome::MaybeRun, "{answer:?}");
    });
    let others: Vec<&str> = NODES.into_iter().filter(|node| *node != owner).collect();
    for node in &others {
        let answer = fleet.order(node, path, &ticket).expect("an answer");
        assert_eq!(answer.outcome, Outcome::MaybeRun, "{answer:?}");
    }
    fleet.restart(&owner, PairPart::Node);
    fleet.wait_ready();
    for node in NODES {
        let answer = fleet.order(node, path, &ticket).expect("an answer");
        assert_eq!(answer.outcome, Outcome::MaybeRun, "{answer:?}");
        assert_eq!(
            answer.code,
            ResultCode::TicketOwnerGone.number(),
            "{answer:?}"
        );
    }
    assert_eq!(fleet.runs_of_ticket(&ticket), 1);
}

/// The owner's node is frozen with the order in hand, longer than any lease
/// would have lasted. The till resends meanwhile. When the node thaws it must
/// not run the order a second time.
#[test]
fn a_frozen_and_thawed_owner_runs_an_order_once() {
    let mut fleet = Fleet::small();
    let ticket = fleet.ticket("verdskra-1");
    let owner = owner_of(&ticket);
    let others: Vec<&str> = NODES.into_iter().filter(|node| *node != owner).collect();
    fleet
        .pair_mut(&owner)
        .signal(PairPart::Node, ProcessSignal::Stop);
    for node in &others {
        let answer = fleet
            .order(node, "/pantanir/orders/3", &ticket)
            .expect("an answer");
        assert_eq!(answer.outcome, Outcome::MaybeRun, "{answer:?}");
    }
    fleet
        .pair_mut(&owner)
        .signal(PairPart::Node, ProcessSignal::Continue);
    fleet.wait_ready();
    for node in &others {
        let answer = fleet
            .order(node, "/pantanir/orders/3", &ticket)
            .expect("an answer");
        // The thawed node may find the order's deadline passed and end its
        // ticket unused: then "not run" is the truth.
        let runs = fleet.runs_of_ticket(&ticket);
        match answer.outcome {
            Outcome::NotRun => assert_eq!(runs, 0, "{answer:?}"),
            Outcome::Ran => assert_eq!(runs, 1, "{answer:?}"),
            Outcome::MaybeRun => assert!(runs <= 1, "{answer:?}"),
        }
    }
    assert!(fleet.runs_of_ticket(&ticket) <= 1);
}

/// The platform is away for long. Orders and alerts must still go out, and a
/// resend must still find the first run.
#[test]
fn orders_go_out_while_the_platform_is_away() {
    let fleet = Fleet::small();
    fleet.platform_faults(&json!({"down": "drop", "cut_watches": true}));
    let ticket = fleet.ticket("verdskra-1");
    let first = fleet
        .order("verdskra-2", "/pantanir/orders/4", &ticket)
        .expect("an answer");
    let second = fleet
        .order("pantanir-1", "/pantanir/orders/4", &ticket)
        .expect("an answer");
    assert_eq!(
        (first.outcome, second.outcome),
        (Outcome::Ran, Outcome::Ran)
    );
    assert!(!first.replayed && second.replayed);
    assert_eq!(fleet.runs_of_ticket(&ticket), 1);
}

/// An order hears "not run" because the backend server sheds. The till orders
/// anew with another ticket; a copy of the old order that was held up in the
/// network arrives after that and must not run.
#[test]
fn a_ticket_that_was_refused_never_runs_later() {
    let fleet = Fleet::small();
    for instance in ["pantanir-1", "pantanir-2"] {
        fleet.backend_faults(instance, &json!({"shed_all": true}));
    }
    let ticket = fleet.ticket("verdskra-1");
    let refused = fleet
        .order("verdskra-1", "/pantanir/orders/5", &ticket)
        .expect("an answer");
    assert_eq!(refused.outcome, Outcome::NotRun, "{refused:?}");
    for instance in ["pantanir-1", "pantanir-2"] {
        fleet.backend_faults(instance, &json!({}));
    }
    let copy = fleet
        .order("verdskra-2", "/pantanir/orders/5", &ticket)
        .expect("an answer");
    assert_eq!(copy.outcome, Outcome::NotRun, "{copy:?}");
    assert_eq!(fleet.runs_of_ticket(&ticket), 0);
}

/// A till uses one ticket for two different orders by mistake. The second is
/// refused, or it would get the first one's answer.
#[test]
fn a_ticket_serves_one_request_only() {
    let fleet = Fleet::small();
    let ticket = fleet.ticket("verdskra-1");
    let first = fleet
        .order("verdskra-1", "/pantanir/orders/6", &ticket)
        .expect("an answer");
    let other = fleet
        .order("verdskra-1", "/pantanir/orders/7", &ticket)
        .expect("an answer");
    assert_eq!(first.outcome, Outcome::Ran);
    assert_eq!(other.code, ResultCode::TicketReused.number(), "{other:?}");
    assert_eq!(fleet.runs_of_ticket(&ticket), 1);
}

/// An order without a ticket is refused before anything runs.
#[test]
fn an_order_needs_a_ticket() {
    let fleet = Fleet::small();
    let call = crate::caller::Call::post(fleet.node("verdskra-1"), "/pantanir/orders/8", "cod");
    let answer = call.send().expect("an answer");
    assert_eq!((answer.status, answer.outcome), (428, Outcome::NotRun));
}
