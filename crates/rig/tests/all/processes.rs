//! Processes, ports and layouts.

use std::{collections::BTreeSet, path::Path, process::Command, time::Duration};

use geranium_rig::{ChildProcess, DeploymentLayout, FreePorts, ProcessSignal};

const LIMIT: Duration = Duration::from_secs(20);

fn sleeper(name: &str) -> ChildProcess {
    let mut command = Command::new("sleep");
    command.arg("600");
    ChildProcess::spawn(name, command, Path::new(env!("CARGO_TARGET_TMPDIR"))).unwrap()
}

/// State letter of a process in `/proc`, if there is one.
fn state(id: u32) -> Option<char> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    stat.rsplit_once(") ")?.1.chars().next()
}

// An experiment fails midway. Its fleet is dropped, and no process may be
// left behind on the machine.
#[test]
fn a_dropped_process_is_gone() {
    let process = sleeper("dropped");
    let id = process.id();
    assert!(state(id).is_some());
    drop(process);
    assert_eq!(state(id), None);
}

#[test]
fn signals_reach_the_process() {
    let mut process = sleeper("signalled");
    process.signal(ProcessSignal::Stop);
    while state(process.id()) != Some('T') {
        std::thread::yield_now();
    }
    process.signal(ProcessSignal::Continue);
    while state(process.id()) == Some('T') {
        std::thread::yield_now();
    }
    process.signal(ProcessSignal::Terminate);
    process.wait(LIMIT).unwrap();
    assert!(!process.is_running());
    process.signal(ProcessSignal::Kill);
}

#[test]
fn a_process_that_stays_is_reported() {
    let mut process = sleeper("stays");
    assert!(process.wait(Duration::ZERO).is_err());
}

#[test]
fn ports_are_distinct() {
    let take = || {
        let mut ports = FreePorts::new();
        (0..120).map(|_| ports.take().unwrap()).collect::<Vec<_>>()
    };
    let others = std::thread::spawn(take);
    let taken: BTreeSet<_> = take().into_iter().chain(others.join().unwrap()).collect();
    assert_eq!(taken.len(), 240);
}

#[test]
fn layouts_spread_each_service_over_the_data_centres() {
    let layout = DeploymentLayout::nordurljos();
    let instances = layout.instances();
    let centres: BTreeSet<_> = instances
        .iter()
        .filter(|(service, ..)| *service == "vorulisti")
        .map(|(.., centre)| *centre)
        .collect();
    assert_eq!(centres.len(), 3);
    let names: BTreeSet<_> = instances.iter().map(|(_, name, _)| name).collect();
    assert_eq!(names.len(), 13);
}
