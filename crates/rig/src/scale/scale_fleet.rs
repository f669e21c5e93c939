//! Many nodes, and one thread that speaks for their backend servers.

use std::{
    net::SocketAddr,
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use geranium_model::{InForce, OperationId, Preset, PresetDocument, PresetVersion, platform_keys};
use geranium_platform::{
    CasAnswer, Endpoint, GatewaySettings, GatewayStore, PlatformStore, Revision,
};

use super::{
    big_preset::{big_preset, service_name},
    node_probe::{NodeSample, sample},
};
use crate::{
    ChildProcess, FreePorts, NodeStatus, PairAddresses, ProcessSignal, ProgramPaths, RigError,
    work_dir::WorkDir,
};

/// Data centres, two to a region.
const DATA_CENTRES: usize = 10;
/// Data centres of one region.
const PER_REGION: usize = 2;
/// Period of a backend server's announcements.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
/// Wait for anything to happen everywhere.
const LIMIT: Duration = Duration::from_secs(120);
/// Pause between two looks at the whole fleet: looking costs the nodes time.
const LOOK_PERIOD: Duration = Duration::from_millis(250);

/// One node of the fleet.
#[derive(Debug)]
pub(super) struct ScaleNode {
    pub addresses: PairAddresses,
    pub process: ChildProcess,
    arguments: Vec<String>,
}

/// A fleet of nodes without callers.
#[derive(Debug)]
pub(super) struct ScaleFleet {
    pub nodes: Vec<ScaleNode>,
    pub store: Arc<GatewayStore>,
    pub platform: SocketAddr,
    version: u64,
    programs: ProgramPaths,
    announcer: Option<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
    _platform_process: ChildProcess,
    // Dropped last: the processes above write into it.
    work_dir: WorkDir,
}

impl ScaleFleet {
    /// Starts the platform, puts a preset in force and starts `count` nodes.
    pub(super) fn start(count: usize) -> Result<Self, RigError> {
        let programs = ProgramPaths::find();
        let work_dir = WorkDir::create()?;
        let mut ports = FreePorts::new();
        let platform = ports.take()?;
        let mut command = Command::new(programs.program("geranium-standin-platform")?);
        command.args(["--listen", &platform.to_string()]);
        let platform_process = ChildProcess::spawn("platform", command, work_dir.path())?;
        let endpoint: Endpoint = platform.to_string().parse().expect("a socket address");
        let store = GatewayStore::try_from(GatewaySettings::new([endpoint])).expect("one endpoint");
        let mut fleet = Self {
            nodes: Vec::new(),
            store: Arc::new(store),
            platform,
            version: 0,
            programs,
            announcer: None,
            stop: Arc::new(AtomicBool::new(false)),
            _platform_process: platform_process,
            work_dir,
        };
        fleet.wait("the platform", |fleet| {
            fleet.store.get(platform_keys::IN_FORCE).is_ok()
        })?;
        fleet.change(&big_preset(0));
        let addresses = (0..count)
            .map(|_| PairAddresses::take(&mut ports))
            .collect::<Result<Vec<_>, _>>()?;
        for index in 0..count {
            let node = fleet.spawn(index, addresses[index], count, &addresses)?;
            fleet.nodes.push(node);
        }
        fleet.announcer = Some(fleet.announce());
        Ok(fleet)
    }

    fn spawn(
        &self,
        index: usize,
        own: PairAddresses,
        count: usize,
        all: &[PairAddresses],
    ) -> Result<ScaleNode, RigError> {
        let data_centre = index % DATA_CENTRES;
        let names: Vec<String> = (0..DATA_CENTRES).map(data_centre_name).collect();
        // One contact a data centre, as the platform's seeds would name.
        let seeds: Vec<String> = all
            .iter()
            .take(DATA_CENTRES)
            .map(|one| one.control.to_string())
            .collect();
        let flags = [
            ("--instance", format!("node-{index:04}")),
            ("--data-centre", data_centre_name(data_centre)),
            ("--region", format!("region-{}", data_centre / PER_REGION)),
            ("--data-centres", names.join(",")),
            ("--seed", seeds.join(",")),
            ("--listen", own.callers.to_string()),
            ("--admin", own.admin.to_string()),
            ("--control", own.control.to_string()),
            ("--data", own.data.to_string()),
            ("--platform", format!("http://{}", self.platform)),
            ("--fleet-size", count.to_string()),
            ("--warming-s", "0".to_owned()),
            ("--log-level", "warning".to_owned()),
        ];
        let arguments: Vec<String> = flags
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect();
        let process = self.run_node(index, &arguments)?;
        Ok(ScaleNode {
            addresses: own,
            process,
            arguments,
        })
    }

    fn run_node(&self, index: usize, arguments: &[String]) -> Result<ChildProcess, RigError> {
        let mut command = Command::new(self.programs.program("geranium-node")?);
        command.args(arguments);
        ChildProcess::spawn(&format!("node-{index}"), command, self.work_dir.path())
    }

    /// Kills a node and starts it again at its addresses.
    ///
    /// Failure guarded against: a killed process holds its ports until it has
    /// ended, some milliseconds after the signal, and its successor ends with
    /// "address in use". It shows as a fleet that never knows all its nodes.
    /// The successor is started only once the system has reported the end.
    pub(super) fn restart(&mut self, index: usize) -> Result<(), RigError> {
        let process = &mut self.nodes[index].process;
        process.signal(ProcessSignal::Kill);
        process.wait(LIMIT)?;
        let arguments = self.nodes[index].arguments.clone();
        self.nodes[index].process = self.run_node(index, &arguments)?;
        Ok(())
    }

    /// Announces a backend server to every node once a second.
    fn announce(&self) -> JoinHandle<()> {
        let admins: Vec<(usize, PairAddresses)> = self
            .nodes
            .iter()
            .map(|node| node.addresses)
            .enumerate()
            .collect();
        let stop = Arc::clone(&self.stop);
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let started = Instant::now();
                for (index, addresses) in &admins {
                    let announcement = serde_json::json!({
                        "service": service_name(*index), "address": addresses.backend.to_string(),
                        "slots": 12, "connections": 130, "announced": 1,
                    });
                    let url = format!("http://{}/announce", addresses.admin);
                    // A node that is down hears the next one.
                    let _ = attohttpc::post(url)
                        .json(&announcement)
                        .map(attohttpc::RequestBuilder::send);
                }
                thread::sleep(ANNOUNCE_PERIOD.saturating_sub(started.elapsed()));
            }
        })
    }

    /// Puts the next preset in force; returns the wall clock of the write in
    /// milliseconds.
    pub(super) fn change(&mut self, document: &PresetDocument) -> u64 {
        let preset = Preset::try_from(document.clone()).expect("a generated preset is good");
        let key = platform_keys::content(preset.digest());
        let stored =
            self.store
                .compare_and_swap(&key, Revision::NONE, &document.canonical_bytes(), None);
        stored.expect("the stand-in takes the content");
        self.version += 1;
        let written_at_ms = wall_clock_ms();
        let record = InForce {
            version: PresetVersion::new(self.version),
            preset: "scale".parse().expect("a good name"),
            digest: preset.digest(),
            operation: OperationId::from_random(rand::random()),
            operator: "rig".to_owned(),
            written_at_ms,
        };
        let value = serde_json::to_vec(&record).expect("a record serializes");
        let current = self
            .store
            .get(platform_keys::IN_FORCE)
            .expect("the stand-in answers");
        let expected = current.map_or(Revision::NONE, |entry| entry.revision);
        let answer = self
            .store
            .compare_and_swap(platform_keys::IN_FORCE, expected, &value, None);
        assert!(
            matches!(answer, Ok(CasAnswer::Swapped { .. })),
            "{answer:?}"
        );
        written_at_ms
    }

    /// Waits until every node in `alive` has the newest version; returns when
    /// each got it, in milliseconds after `written_at_ms`.
    pub(super) fn convergence(
        &self,
        written_at_ms: u64,
        alive: impl Fn(usize) -> bool,
    ) -> Result<Vec<u64>, RigError> {
        let mut times = Vec::new();
        let all = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(index, _)| alive(*index));
        for (_, node) in all {
            let mut since = 0;
            self.wait("the change on a node", |fleet| {
                let status = NodeStatus::read(node.addresses.admin).unwrap_or_default();
                since = status.in_force_since_ms;
                status.version == fleet.version
            })?;
            times.push(since.saturating_sub(written_at_ms));
        }
        Ok(times)
    }

    /// Waits until every node knows every node and has a preset.
    pub(super) fn wait_joined(&self) -> Result<(), RigError> {
        let count = self.nodes.len();
        for node in &self.nodes {
            self.wait("a node to know all others", |fleet| {
                let status = NodeStatus::read(node.addresses.admin).unwrap_or_default();
                status.state == "live"
                    && status.version == fleet.version
                    && status.member_count() >= count
            })?;
        }
        Ok(())
    }

    /// Reads every node's counters.
    pub(super) fn samples(&self) -> Vec<NodeSample> {
        self.nodes
            .iter()
            .map(|node| sample(node.process.id(), node.addresses.admin))
            .collect()
    }

    /// Returns the platform's calls so far, and its waiting watches.
    pub(super) fn platform_calls(&self) -> (f64, u64) {
        let sent = attohttpc::get(format!("http://{}/standin/counts", self.platform)).send();
        let counts: serde_json::Value =
            sent.and_then(attohttpc::Response::json).unwrap_or_default();
        let total = |kind: &str| counts["totals"][kind].as_f64().unwrap_or_default();
        let calls = total("read") + total("write") + total("watch");
        (
            calls,
            counts["waiting_watches"].as_u64().unwrap_or_default(),
        )
    }

    /// Sets the platform's faults.
    pub(super) fn platform_faults(&self, faults: &serde_json::Value) {
        let url = format!("http://{}/standin/faults", self.platform);
        let sent = attohttpc::post(url)
            .json(faults)
            .map(attohttpc::RequestBuilder::send);
        assert!(matches!(sent, Ok(Ok(_))), "the stand-in takes faults");
    }

    fn wait(&self, what: &str, mut condition: impl FnMut(&Self) -> bool) -> Result<(), RigError> {
        let until = Instant::now() + LIMIT;
        while !condition(self) {
            if Instant::now() > until {
                let (what, state) = (what.to_owned(), "not yet".to_owned());
                return Err(RigError::Timeout {
                    what,
                    limit: LIMIT,
                    state,
                });
            }
            thread::sleep(LOOK_PERIOD);
        }
        Ok(())
    }
}

impl Drop for ScaleFleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(announcer) = self.announcer.take() {
            announcer.join().ok();
        }
    }
}

fn data_centre_name(index: usize) -> String {
    format!("dc-{index}")
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub(super) fn wall_clock_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
