//! What answers hold.

use std::io::Read;

use geranium_model::{ContentDigest, headers};
use geranium_standins::backend::{RunEnd, SeededBytes};
use serde_json::Value;

use crate::caller::{get, post, record_of, start};

#[test]
fn a_small_answer_names_its_own_request() {
    let server = start(&[]);
    let request = attohttpc::post(format!("http://{}/orders/7?work_ms=1", server.address()))
        .header(headers::REQUEST_ID, "try-1")
        .header(headers::TICKET, "ticket-1")
        .text("two crates of cod");
    let answer = request.send().unwrap();
    assert_eq!(answer.headers()[headers::REQUEST_ID], "try-1");
    assert!(answer.headers().contains_key(headers::BACKEND_LOAD));
    let content: Value = answer.json().unwrap();
    assert_eq!(content["request_id"], "try-1");
    assert_eq!(content["path"], "/orders/7");
    let digest = ContentDigest::of("two crates of cod");
    assert_eq!(
        content["body_digest"],
        serde_json::to_value(digest).unwrap()
    );

    let record = record_of(&server, "try-1");
    assert_eq!(record.how, RunEnd::Ran);
    assert_eq!(record.ticket.as_deref(), Some("ticket-1"));
    assert_eq!(record.body_digest, digest);
}

#[test]
fn a_file_is_made_again_from_its_seed() {
    let server = start(&[]);
    let answer = get(server.address(), "/lists/file/100001/42", "file-1")
        .send()
        .unwrap();
    assert_eq!(answer.headers()["content-length"], "100001");
    assert!(
        answer.headers()["content-digest"]
            .to_str()
            .unwrap()
            .starts_with("sha-256=:")
    );
    let mut expected = Vec::new();
    SeededBytes::new(42, 100_001)
        .read_to_end(&mut expected)
        .unwrap();
    assert!(answer.bytes().unwrap() == expected);
}

#[test]
fn the_digest_of_a_file_is_known() {
    let server = start(&[]);
    let answer = get(server.address(), "/lists/file/0/1", "file-2")
        .send()
        .unwrap();
    let digest = "sha-256=:47DEQpj8HBSa+/TImW+5JCeuQeRkm5NMpJWZG3hSuFU=:";
    assert_eq!(answer.headers()["content-digest"], digest);
}

// A backend server dies while it sends an answer. The connection closes after
// half of the announced length, and the client must be able to see that.
#[test]
fn an_answer_that_breaks_off_closes_the_connection() {
    let server = start(&[]);
    for path in [
        "/prices/cod?die_mid_body=1",
        "/lists/file/200000/3?die_mid_body=1",
    ] {
        let answer = get(server.address(), path, path).send().unwrap();
        assert_eq!(answer.status().as_u16(), 200);
        let announced: usize = answer.headers()["content-length"]
            .to_str()
            .unwrap()
            .parse()
            .unwrap();
        let mut received = Vec::new();
        answer.split().2.read_to_end(&mut received).ok();
        assert_eq!(received.len(), announced / 2);
        assert_eq!(record_of(&server, path).how, RunEnd::Broke);
    }
}

#[test]
fn the_journal_is_served() {
    let server = start(&[]);
    post(server.address(), "/orders/1", "x");
    let answer = attohttpc::get(format!("http://{}/.backend/journal", server.address()));
    let records: Vec<Value> = answer.send().unwrap().json().unwrap();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0]["how"], "ran");
}
