//! "Not run" must be the truth.

use std::{collections::HashSet, thread};

use geranium_load::RunLine;
use geranium_model::{Outcome, headers};
use geranium_rig::{PairPart, ProcessSignal};

use crate::{
    caller::{Answer, Call},
    fleet::{Fleet, document, wait_until},
};

const PER_CALLER: usize = 12;

/// Sends many writes at once; returns each identifier with its answer.
fn burst(fleet: &Fleet, path: &str, deadline_ms: u32) -> Vec<(String, Answer)> {
    thread::scope(|scope| {
        let callers: Vec<_> = (0..24)
            .map(|caller| {
                let node = fleet.node(["verdskra-1", "pantanir-2"][caller % 2]);
                scope.spawn(move || {
                    let send = |turn| {
                        let id = format!("burst-{deadline_ms}-{caller}-{turn}");
                        let answer = Call::post(node, path, "count stock")
                            .header(headers::REQUEST_ID, &id)
                            .header(headers::CALLER, format!("till-{caller}"))
                            .header(headers::DEADLINE_MS, deadline_ms)
                            .send();
                        Some((id, answer.ok()?))
                    };
                    (0..PER_CALLER).filter_map(send).collect::<Vec<_>>()
                })
            })
            .collect();
        callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("a caller ends"))
            .collect()
    })
}

fn assert_truthful(fleet: &Fleet, answers: &[(String, Answer)]) -> usize {
    let runs = fleet.runs();
    let ran: HashSet<&str> = runs
        .iter()
        .filter(|run| run.ran())
        .map(|run: &RunLine| run.request_id.as_str())
        .collect();
    // These are writes: a node that took a broken connection for "not run" would
    // send one to the next server, and its caller would hear of one run only.
    for (id, answer) in answers {
        let times = runs
            .iter()
            .filter(|run| run.request_id == *id && run.ran())
            .count();
        assert!(times <= 1, "{id} ran {times} times: {answer:?}");
    }
    let refused: Vec<_> = answers
        .iter()
        .filter(|(_, answer)| answer.outcome == Outcome::NotRun)
        .collect();
    for (id, answer) in &refused {
        assert!(
            !ran.contains(id.as_str()),
            "{id} ran, yet its caller heard {answer:?}"
        );
    }
    refused.len()
}

/// Far more writes than slots and places arrive at once. Those refused hear it
/// at once, with a time to come back, and none of them ran.
#[test]
fn refused_by_a_full_queue_means_not_run() {
    let mut fleet = Fleet::small();
    let version = fleet.activate(&document(2));
    fleet.wait_version(version);
    let answers = burst(&fleet, "/pantanir/stock?work_ms=60", 400);
    let refused = assert_truthful(&fleet, &answers);
    assert!(refused > 0, "the burst was meant to overflow the queue");
    let silent = answers
        .iter()
        .filter(|(_, answer)| answer.status == 503 && !answer.says_when)
        .count();
    assert_eq!(silent, 0, "a refusal must say when to come back");
}

/// Deadlines pass in the queue and at the backend server. Who hears "not run"
/// must not have run.
#[test]
fn deadlines_that_pass_tell_the_truth() {
    let fleet = Fleet::small();
    let mut answers = burst(&fleet, "/pantanir/stock?work_ms=50", 120);
    // These run on past their deadline at the backend server.
    answers.extend(burst(&fleet, "/pantanir/stock?late=1&work_ms=200", 100));
    assert_truthful(&fleet, &answers);
    assert!(
        answers
            .iter()
            .any(|(_, answer)| answer.outcome == Outcome::Ran)
    );
}

/// Backend servers and nodes are killed while writes are under way. The callers
/// hear "maybe run" or the answer; "not run" only where it is true.
#[test]
fn kills_in_mid_flight_tell_the_truth() {
    let mut fleet = Fleet::small();
    let answers = thread::scope(|scope| {
        let node = fleet.node("verdskra-1");
        let send_all = move |caller: usize| {
            let send = |turn: usize| {
                let id = format!("kill-{caller}-{turn}");
                let answer = Call::post(node, "/pantanir/stock?work_ms=20", "count stock")
                    .header(headers::REQUEST_ID, &id)
                    .send();
                Some((id, answer.ok()?))
            };
            (0..60).filter_map(send).collect::<Vec<_>>()
        };
        // Several at a time, so that each kill finds some in flight.
        let callers: Vec<_> = (0..6)
            .map(|caller| scope.spawn(move || send_all(caller)))
            .collect();
        wait_until("some runs", || fleet.runs().len() > 5);
        fleet
            .pair_mut("pantanir-1")
            .signal(PairPart::Backend, ProcessSignal::Kill);
        wait_until("more runs", || fleet.runs().len() > 25);
        fleet.restart("pantanir-1", PairPart::Backend);
        fleet
            .pair_mut("pantanir-2")
            .signal(PairPart::Node, ProcessSignal::Kill);
        wait_until("more runs yet", || fleet.runs().len() > 50);
        fleet.restart("pantanir-2", PairPart::Node);
        let ended = callers
            .into_iter()
            .map(|caller| caller.join().expect("a caller ends"));
        ended.flatten().collect::<Vec<_>>()
    });
    assert_truthful(&fleet, &answers);
}

/// A till looks up a price. The node of the backend server that works on it
/// dies, so whether it ran is open; the lookup may be repeated, and the other
/// backend server refuses it as not run. The till must not hear "not run": that
/// is true of the last try only, and the first one did run.
#[test]
fn a_refused_retry_does_not_take_back_that_the_first_try_may_have_run() {
    let mut fleet = Fleet::small();
    let node = fleet.node("pantanir-1");
    let call = Call::get(node, "/verdskra/cod?work_ms=3000").header(headers::REQUEST_ID, "lookup");
    let caller = thread::spawn(move || call.send());
    wait_until("the lookup to run", || fleet.runs_of_request("lookup") == 1);
    let first = fleet.run.pairs.iter().find(|pair| {
        let journal = std::fs::read_to_string(pair.journal_path());
        journal.is_ok_and(|text| text.contains("\"lookup\""))
    });
    let first = first.expect("it runs somewhere").instance.clone();
    let other = ["verdskra-1", "verdskra-2"]
        .into_iter()
        .find(|instance| *instance != first);
    let refuse = serde_json::json!({"shed_all": true});
    fleet.backend_faults(other.expect("there are two"), &refuse);
    fleet
        .pair_mut(&first)
        .signal(PairPart::Node, ProcessSignal::Kill);
    let answer = caller.join().expect("a caller ends").expect("an answer");
    assert_eq!(fleet.runs_of_request("lookup"), 1);
    assert_eq!(answer.outcome, Outcome::MaybeRun, "{answer:?}");
}

/// A clerk books stock out, without a ticket. The node that works on it dies and
/// is back at its address within the clerk's deadline. The link between the nodes
/// must not send the booking again by itself: it would be booked out twice.
#[test]
fn a_link_never_sends_a_request_again() {
    let mut fleet = Fleet::small();
    let node = fleet.node("verdskra-1");
    let call = Call::post(node, "/pantanir/stock?work_ms=300&late=1", "two boxes out")
        .header(headers::REQUEST_ID, "booking");
    let clerk = thread::spawn(move || call.send());
    wait_until("the booking to run", || {
        fleet.runs_of_request("booking") == 1
    });
    let worker = fleet.run.pairs.iter().find(|pair| {
        let journal = std::fs::read_to_string(pair.journal_path());
        journal.is_ok_and(|text| text.contains("\"booking\""))
    });
    let worker = worker.expect("it runs somewhere").instance.clone();
    let pair = fleet.pair_mut(&worker);
    pair.signal(PairPart::Node, ProcessSignal::Kill);
    let process = pair.process(PairPart::Node).expect("it was started");
    process.wait(crate::fleet::LIMIT).expect("it ends");
    fleet.restart(&worker, PairPart::Node);
    fleet.wait_ready();
    let answer = clerk.join().expect("the clerk ends").expect("an answer");
    assert_eq!(answer.outcome, Outcome::MaybeRun, "{answer:?}");
    assert_eq!(fleet.runs_of_request("booking"), 1);
}
