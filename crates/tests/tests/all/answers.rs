//! Whole answers to their own askers.

use std::{collections::HashSet, thread, time::Duration};

use geranium_load::RunLine;
use geranium_model::{Outcome, headers};
use geranium_rig::{PairPart, ProcessSignal};

use crate::{
    caller::Call,
    fleet::{Fleet, wait_until},
};

/// A shop's nightly catalogue stops in the middle: the backend server's
/// connection closes after half of the body. The shop must see an error, not a
/// short file that looks whole, whatever the length and on every node.
#[test]
fn a_body_that_breaks_off_is_never_taken_for_whole() {
    let fleet = Fleet::small();
    for instance in ["verdskra-1", "pantanir-2"] {
        for path in [
            "/verdskra/fish?die_mid_body=1",
            "/verdskra/bulk/file/3000000/5?die_mid_body=1",
        ] {
            let answer = Call::get(fleet.node(instance), path).send();
            let whole = answer
                .as_ref()
                .is_ok_and(|answer| answer.status < 500 && answer.body.is_ok());
            assert!(!whole, "{path} through {instance}: {answer:?}");
        }
    }
}

/// An archive is on its way through two nodes when the one beside the backend
/// server is killed. The partner agency must see an error.
#[test]
fn a_node_killed_midway_breaks_the_transfer_visibly() {
    let mut fleet = Fleet::small();
    let asked = fleet.node("pantanir-1");
    let path = "/verdskra/bulk/file/250000000/9";
    let reading = thread::spawn(move || Call::get(asked, path).send());
    wait_until("the transfer", || fleet.runs().iter().any(RunLine::ran));
    for instance in ["verdskra-1", "verdskra-2"] {
        fleet
            .pair_mut(instance)
            .signal(PairPart::Node, ProcessSignal::Kill);
    }
    let answer = reading.join().expect("the caller ends");
    let whole = answer
        .as_ref()
        .is_ok_and(|answer| answer.status == 200 && answer.body.is_ok());
    assert!(!whole, "a killed node can't have sent all of it");
}

/// A catalogue of many parts arrives whole: its length and digest fit.
#[test]
fn a_long_body_arrives_whole_through_two_nodes() {
    let fleet = Fleet::small();
    let answer = Call::get(fleet.node("pantanir-1"), "/verdskra/bulk/file/20000000/3");
    let answer = answer.send().expect("an answer");
    assert_eq!((answer.status, answer.outcome), (200, Outcome::Ran));
    let body = answer.body.expect("a whole body");
    let mut expected = Vec::new();
    let mut content = geranium_standins::backend::SeededBytes::new(3, 20_000_000);
    std::io::Read::read_to_end(&mut content, &mut expected).expect("seeded bytes");
    assert!(body == expected, "the content differs");
}

/// Tills give up on slow answers and ask for something else. The answers to
/// the abandoned questions arrive late, on links that carry newer questions.
/// Every till must get the answer to its own question all the same.
#[test]
fn late_and_crossed_answers_reach_nobody_else() {
    let fleet = Fleet::small();
    let node = fleet.node("pantanir-1");
    let tills: Vec<_> = (0..8)
        .map(|till| {
            thread::spawn(move || {
                let mut seen = HashSet::new();
                for turn in 0..25 {
                    let id = format!("till-{till}-{turn}");
                    let slow = turn % 3 == 0;
                    let work = if slow {
                        "late=1&work_ms=120"
                    } else {
                        "work_ms=1"
                    };
                    let path = format!("/verdskra/{id}?{work}");
                    let answer = Call::get(node, &path)
                        .header(headers::REQUEST_ID, &id)
                        .header(headers::DEADLINE_MS, if slow { 40 } else { 4_000 })
                        .send()
                        .expect("an answer");
                    if answer.outcome == Outcome::Ran && answer.status == 200 {
                        assert_eq!(answer.echo()["request_id"], id.as_str());
                        seen.insert(id);
                    }
                }
                seen.len()
            })
        })
        .collect();
    let answered: usize = tills
        .into_iter()
        .map(|till| till.join().expect("a till ends"))
        .sum();
    assert!(answered > 0, "no till got any answer");
}

/// A caller leaves before its answer is there. Its slot must come free: the
/// backend server is told to stop.
#[test]
fn a_caller_that_leaves_is_cancelled_at_the_backend_server() {
    let fleet = Fleet::small();
    let node = fleet.node("pantanir-1");
    let leaving = std::net::TcpStream::connect(node).expect("a connection");
    let head =
        "GET /verdskra/slow?work_ms=4000 HTTP/1.1\r\nhost: x\r\nx-request-id: leaver\r\n\r\n";
    std::io::Write::write_all(&mut &leaving, head.as_bytes()).expect("a request");
    wait_until("the run", || fleet.runs_of_request("leaver") == 1);
    thread::sleep(Duration::from_millis(50));
    drop(leaving);
    wait_until("the cancellation", || {
        let runs = fleet.runs();
        let run = runs
            .iter()
            .find(|run| run.request_id == "leaver")
            .expect("the run");
        run.how == geranium_load::RunHow::Cancelled
    });
}
