//! Judging of answers.

use std::{collections::HashMap, sync::Mutex};

use geranium_load::AnswerVerdict;
use geranium_model::{ContentDigest, Outcome};
use serde_json::json;

use crate::responder::{Asked, closing, load, serve, success};

/// Makes an answer to `asked` as if it had been sent with `request_id`.
fn small_answer(asked: &Asked, request_id: &str) -> String {
    let ticket = Some(asked.header("x-once-ticket")).filter(|ticket| !ticket.is_empty());
    let answer = json!({
        "request_id": request_id,
        "ticket": ticket,
        "path": "/a",
        "body_digest": ContentDigest::of(&asked.body),
    });
    answer.to_string()
}

fn own_answer(asked: &Asked) -> String {
    small_answer(asked, asked.header("x-request-id"))
}

#[test]
fn own_and_whole_answers_are_good() {
    let node = serve(|asked| success("x-outcome: ran\r\n", &own_answer(asked)));
    let total = load("short:1:/a?work_ms=1", node).report.total;
    assert!(total.requests > 0);
    assert_eq!(total.good, total.requests);
}

// Two callers ask at once and a node crosses their answers. Each is whole and
// well-formed, and belongs to the other.
#[test]
fn a_crossed_answer_is_wrong() {
    let node = serve(|asked| success("", &small_answer(asked, "somebody-else")));
    let total = load("short:1:/a", node).report.total;
    assert_eq!(total.wrong_answers, total.requests);
}

// A node relays an answer whose backend server died midway, and closes it as
// if it were whole.
#[test]
fn a_truncated_answer_that_looks_whole_is_short() {
    let node = serve(|asked| {
        let body = own_answer(asked);
        success("", &body[..body.len() / 2])
    });
    let total = load("short:1:/a", node).report.total;
    assert_eq!(total.short_answers, total.requests);

    let empty = serve(|_| success("", ""));
    let total = load("bulk:1:/a:1000", empty).report.total;
    assert_eq!(total.short_answers, total.requests);
}

#[test]
fn a_file_with_other_content_is_wrong() {
    let node = serve(|_| success("", &"x".repeat(1_000)));
    let total = load("bulk:1:/a:1000", node).report.total;
    assert_eq!(total.wrong_answers, total.requests);
}

// The same break, and this time the caller can see it: the connection closes
// before the announced length.
#[test]
fn a_visible_break_is_resent() {
    let node = serve(|_| closing("200 OK", "", 1_000, "half"));
    let total = load("short:1:/a", node).report.total;
    assert_eq!((total.broken, total.short_answers), (total.requests, 0));
    assert_eq!(total.resends, total.requests);
}

#[test]
fn a_refusal_is_final() {
    let head = "x-outcome: not-run\r\nx-result-code: 111\r\n";
    let node = serve(move |_| closing("503 Service Unavailable", head, 0, ""));
    let outcome = load("short:1:/a", node);
    let total = outcome.report.total;
    assert_eq!((total.refused, total.resends), (total.requests, 0));
    assert_eq!(total.codes[&111], total.requests);
    assert!(
        outcome
            .tries
            .iter()
            .all(|record| record.outcome == Some(Outcome::NotRun))
    );
}

// A node gives a ticket, takes the order and dies before its answer. The
// caller sends it again with the same ticket and a new request id, and gets
// the first run's answer.
#[test]
fn an_order_is_resent_with_its_ticket() {
    let first_tries: Mutex<HashMap<String, String>> = Mutex::default();
    let node = serve(move |asked| {
        let mut first_tries = first_tries.lock().unwrap();
        if asked
            .start_line
            .starts_with("POST /.geranium/tickets?service=pantanir ")
        {
            let ticket = format!("ticket-{}", first_tries.len());
            first_tries.insert(ticket.clone(), String::new());
            return success("", &json!({ "ticket": ticket }).to_string());
        }
        let first_try = first_tries.get_mut(asked.header("x-once-ticket")).unwrap();
        if first_try.is_empty() {
            asked.header("x-request-id").clone_into(first_try);
            return String::new();
        }
        success(
            "x-once-replayed: 1\r\nx-outcome: ran\r\n",
            &small_answer(asked, first_try),
        )
    });
    let outcome = load("once:1:/a:pantanir", node);
    let total = outcome.report.total;
    assert!(total.requests > 0);
    assert_eq!(
        (total.good, total.resends),
        (total.requests, total.requests)
    );
    for pair in outcome.tries.chunks(2) {
        assert_eq!(pair[0].verdict, AnswerVerdict::Broken);
        assert_eq!(pair[1].ticket, pair[0].ticket);
        assert_ne!(pair[1].request_id, pair[0].request_id);
    }
}

#[test]
fn an_order_without_a_ticket_is_never_sent() {
    let node = serve(|asked| {
        assert!(asked.start_line.contains("/.geranium/tickets"));
        closing("503 Service Unavailable", "", 0, "")
    });
    let outcome = load("once:1:/a:pantanir", node);
    assert!(outcome.tries.is_empty());
    assert_eq!(
        outcome.report.total.without_ticket,
        outcome.report.total.requests
    );
}
