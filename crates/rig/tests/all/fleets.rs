//! Whole fleets; `cargo build --workspace --bins` comes first.

use std::{collections::BTreeSet, time::Duration};

use geranium_rig::{
    DeploymentLayout, FleetRun, FreePorts, NodeStatus, PairPart, ProcessSignal, ServiceLayout,
};

const LIMIT: Duration = Duration::from_secs(60);

fn small_layout() -> DeploymentLayout {
    let service = |name: &str, instances| ServiceLayout {
        name: name.to_owned(),
        instances,
    };
    DeploymentLayout {
        services: vec![service("verdskra", 2), service("pantanir", 1)],
        ..DeploymentLayout::nordurljos()
    }
}

fn is_running(id: u32) -> bool {
    std::path::Path::new(&format!("/proc/{id}")).exists()
}

// An experiment starts a fleet and ends. Every node has met every other, and
// nothing that the fleet started is left behind.
#[test]
fn a_fleet_comes_up_and_goes_without_a_trace() {
    let mut fleet = FleetRun::start(&small_layout(), &mut FreePorts::new()).unwrap();
    fleet.wait_ready(0, LIMIT).unwrap();
    let instances: BTreeSet<_> = fleet
        .pairs
        .iter()
        .map(|pair| pair.status().unwrap().instance)
        .collect();
    assert_eq!(instances.len(), 3);

    let mut ids = vec![fleet.platform.id()];
    for pair in &mut fleet.pairs {
        ids.push(pair.process(PairPart::Node).unwrap().id());
        ids.push(pair.process(PairPart::Backend).unwrap().id());
    }
    let work_dir = fleet.work_dir().to_owned();
    drop(fleet);
    assert!(ids.iter().all(|id| !is_running(*id)));
    assert!(!work_dir.exists());
}

#[test]
fn a_killed_node_comes_back_at_its_addresses() {
    let mut fleet = FleetRun::start(&small_layout(), &mut FreePorts::new()).unwrap();
    fleet.wait_ready(0, LIMIT).unwrap();
    let pair = fleet.pair("pantanir-1").unwrap();
    pair.signal(PairPart::Node, ProcessSignal::Kill);
    pair.process(PairPart::Node).unwrap().wait(LIMIT).unwrap();
    assert_eq!(NodeStatus::read(pair.addresses.admin), None);
    pair.start(PairPart::Node).unwrap();
    fleet.wait_ready(0, LIMIT).unwrap();
}
