//! The platform stand-in as a process.

use std::{
    io::{BufRead, BufReader},
    process::{Child, Command, Stdio},
};

use geranium_standins::platform::CountsReport;

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }
}

fn post(url: &str, body: &str) -> u16 {
    let response = attohttpc::post(url).text(body).send().unwrap();
    response.status().as_u16()
}

#[test]
fn a_process_tells_its_address_and_counts_what_it_turns_away() {
    let child = Command::new(env!("CARGO_BIN_EXE_geranium-standin-platform"))
        .args(["--listen", "127.0.0.1:0", "--writes-per-second", "0"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut process = Process(child);
    let mut first = String::new();
    let stdout = process.0.stdout.take().unwrap();
    BufReader::new(stdout).read_line(&mut first).unwrap();
    let addr = first.strip_prefix("listening ").unwrap().trim();
    assert_eq!(post(&format!("http://{addr}/v3/kv/txn"), "{}"), 429);
    assert_eq!(post(&format!("http://{addr}/v3/kv/range"), "{}"), 200);
    assert_eq!(post(&format!("http://{addr}/v3/kv/range"), "no JSON"), 400);
    assert_eq!(
        post(
            &format!("http://{addr}/standin/faults"),
            r#"{"unknown": 1}"#
        ),
        400
    );
    let counts = attohttpc::get(format!("http://{addr}/standin/counts"))
        .send()
        .unwrap();
    let counts: CountsReport = counts.json().unwrap();
    assert_eq!(
        (
            counts.totals.read,
            counts.totals.write,
            counts.totals.refused
        ),
        (2, 1, 1)
    );
}
