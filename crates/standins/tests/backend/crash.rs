//! The process as a whole: crash and termination.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    thread,
};

use geranium_standins::backend::{RunEnd, RunJournal};

use crate::caller::get;

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        self.0.kill().ok();
        self.0.wait().ok();
    }
}

fn spawn(journal_dir: &std::path::Path) -> (Process, SocketAddr) {
    let child = Command::new(env!("CARGO_BIN_EXE_geranium-standin-backend"))
        .args([
            "--service",
            "prices",
            "--instance",
            "prices-1",
            "--journal-dir",
        ])
        .arg(journal_dir)
        .stdout(Stdio::piped())
        .spawn();
    let mut process = Process(child.unwrap());
    let mut line = String::new();
    let stdout = process.0.stdout.take().unwrap();
    BufReader::new(stdout).read_line(&mut line).unwrap();
    let address = line
        .trim()
        .strip_prefix("listening ")
        .unwrap()
        .parse()
        .unwrap();
    (process, address)
}

fn journal_dir(name: &str) -> std::path::PathBuf {
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::remove_dir_all(&directory).ok();
    directory
}

// A request crashes the backend server that runs it. Its caller gets no
// answer, and the journal on disk must still show that it ran.
#[test]
fn a_crash_leaves_its_run_in_the_journal() {
    let directory = journal_dir("crash-journal");
    let (mut process, address) = spawn(&directory);
    assert!(get(address, "/a", "before").send().unwrap().is_success());
    assert!(get(address, "/a?crash=1", "poison").send().is_err());
    assert!(!process.0.wait().unwrap().success());

    let (_restarted, address) = spawn(&directory);
    assert!(get(address, "/a", "after").send().unwrap().is_success());
    let records = RunJournal::read_file(directory.join("prices-1.journal")).unwrap();
    let ends: Vec<_> = records
        .iter()
        .map(|record| (record.request_id.as_str(), record.how))
        .collect();
    let expected = [
        ("before", RunEnd::Ran),
        ("poison", RunEnd::Running),
        ("after", RunEnd::Ran),
    ];
    assert_eq!(ends, expected);
}

#[test]
fn a_terminated_process_answers_what_runs() {
    let directory = journal_dir("termination-journal");
    let (mut process, address) = spawn(&directory);
    let caller = thread::spawn(move || get(address, "/a?work_ms=400", "running").send());
    let path = directory.join("prices-1.journal");
    while RunJournal::read_file(&path).unwrap().is_empty() {
        thread::yield_now();
    }
    let command = format!("kill -TERM {}", process.0.id());
    Command::new("sh").args(["-c", &command]).status().unwrap();
    assert!(caller.join().unwrap().unwrap().is_success());
    assert!(process.0.wait().unwrap().success());
}
