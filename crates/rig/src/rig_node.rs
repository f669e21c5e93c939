//! A node process with its backend server and its links.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use geranium_node::discovery::AnnouncementKey;
use geranium_standins::{Machine, MachineAddrs};
use snafu::ResultExt;

use crate::{
    ChildProcess, LinkProxy, ProcessSignal, ProgramPaths, RigEndpoint, RigError,
    http_post::http_get, rig_error::FileSnafu,
};

/// Name of the node's program.
const NODE_PROGRAM: &str = "geranium-node";
/// Port on the machine of the link to the node's listener for other nodes.
const PEER_LINK_PORT: u16 = 7611;
/// Port on the machine of the link to the backend server.
const ENDPOINT_LINK_PORT: u16 = 7612;
/// Port on the machine of the link to the store.
const STORE_LINK_PORT: u16 = 7613;

/// Parameters for starting a node.
#[derive(Debug, Clone)]
pub struct NodePlan<'a> {
    /// Service that the backend server runs.
    pub service: &'a str,
    /// Data centre of the node.
    pub data_centre: &'a str,
    /// Address of the store.
    pub store: SocketAddr,
    /// Directory for settings and logs.
    pub directory: &'a Path,
    /// Paths of the built programs.
    pub programs: &'a ProgramPaths,
}

/// A start or an end of a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeEvent {
    /// When the event occurred.
    pub at: Instant,
    /// Kind of the event.
    pub kind: NodeEventKind,
}

/// Kind of an event of a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeEventKind {
    /// The process was started.
    Started,
    /// The process was asked to terminate.
    Terminated,
    /// The process was killed.
    Killed,
    /// The process was found to have exited unasked.
    Ended,
}

/// A node process with its backend server and its links.
#[derive(Debug)]
pub struct RigNode {
    machine: Machine,
    /// Link through which other nodes reach the node.
    pub peer_link: LinkProxy,
    /// Link through which the node reaches its backend server.
    pub endpoint_link: LinkProxy,
    /// Link through which the node reaches the store.
    pub store_link: LinkProxy,
    /// The backend server beside the node.
    pub endpoint: Arc<RigEndpoint>,
    process: Option<ChildProcess>,
    program: PathBuf,
    settings: PathBuf,
    directory: PathBuf,
    events: Vec<NodeEvent>,
    process_starts: Arc<AtomicUsize>,
}

impl RigNode {
    /// Returns the store key of the node's announcement.
    pub fn announcement_key(&self) -> AnnouncementKey {
        AnnouncementKey::new(&self.machine.data_centre, self.peer_link.addr())
    }

    /// Starts the backend server, the links and the node process.
    ///
    /// # Errors
    ///
    /// Fails if a program is missing, or a file or address can't be opened.
    pub fn start(plan: &NodePlan<'_>) -> Result<Self, RigError> {
        let addrs = MachineAddrs::free();
        let links = [PEER_LINK_PORT, ENDPOINT_LINK_PORT, STORE_LINK_PORT];
        let [peer_addr, endpoint, store] = links.map(|port| addrs.with_port(port));
        let peer_link = LinkProxy::open(peer_addr, addrs.peer_addr)?;
        let endpoint_link = LinkProxy::open(endpoint, addrs.endpoint)?;
        let store_link = LinkProxy::open(store, plan.store)?;
        let machine = Machine {
            addrs,
            app_addr: endpoint,
            data_centre: plan.data_centre.to_owned(),
            service: plan.service.to_owned(),
            store,
            link_mbps: 1_000.0,
            first_start: true,
            has_rollouts: false,
            revoke_s: None,
        };
        let settings = plan.directory.join(format!("{}.toml", machine.name()));
        let mut node = Self {
            endpoint: Arc::new(RigEndpoint::start(machine.clone())),
            machine,
            peer_link,
            endpoint_link,
            store_link,
            process: None,
            program: plan.programs.program(NODE_PROGRAM)?,
            settings,
            directory: plan.directory.to_owned(),
            events: Vec::new(),
            process_starts: Arc::default(),
        };
        node.start_process()?;
        Ok(node)
    }

    /// Returns the machine of the node.
    pub const fn machine(&self) -> &Machine {
        &self.machine
    }

    /// Returns the starts and ends of the node's process.
    pub fn events(&self) -> &[NodeEvent] {
        &self.events
    }

    /// Returns the shared count of process starts.
    pub fn process_starts(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.process_starts)
    }

    /// Starts the process unless it is running.
    ///
    /// # Errors
    ///
    /// Fails if the settings can't be written, or the log or the program can't be
    /// opened.
    pub fn start_process(&mut self) -> Result<(), RigError> {
        if self.is_running() {
            return Ok(());
        }
        let settings = &self.settings;
        std::fs::write(settings, self.machine.settings_text())
            .context(FileSnafu { path: settings })?;
        self.machine.first_start = false;
        let mut command = Command::new(&self.program);
        let peer_addr = self.peer_link.addr();
        command
            .args(["--announce-hop", &peer_addr.to_string()])
            .args([
                "--metrics-port",
                &self.machine.addrs.metrics.port().to_string(),
            ])
            .env("GERANIUMSPRING_SETTINGS", &self.settings);
        // Counted first, so that whoever gets a response of the new process doesn't
        // attribute it to the previous one.
        self.process_starts.fetch_add(1, Ordering::Release);
        let process = ChildProcess::spawn(&self.machine.name(), command, &self.directory)?;
        self.process = Some(process);
        self.record_event(NodeEventKind::Started);
        Ok(())
    }

    /// Sends a signal to the process if it is running.
    pub fn signal(&mut self, signal: ProcessSignal) {
        let Some(process) = &mut self.process else {
            return;
        };
        process.signal(signal);
        match signal {
            ProcessSignal::Kill => self.record_event(NodeEventKind::Killed),
            ProcessSignal::Terminate => self.record_event(NodeEventKind::Terminated),
            ProcessSignal::Hangup | ProcessSignal::Continue | ProcessSignal::Stop => {}
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.signal(ProcessSignal::Kill);
        self.process = None;
    }

    /// Whether the process is running. Records an event if it has exited unasked.
    pub fn is_running(&mut self) -> bool {
        let Some(process) = &mut self.process else {
            return false;
        };
        if process.is_running() {
            return true;
        }
        self.process = None;
        let asked = self.events.last().is_some_and(|event| {
            matches!(
                event.kind,
                NodeEventKind::Terminated | NodeEventKind::Killed
            )
        });
        if !asked {
            self.record_event(NodeEventKind::Ended);
        }
        false
    }

    /// Whether the node reports that it is ready for callers.
    pub async fn is_ready(&self) -> bool {
        let asked = http_get(self.machine.addrs.readiness, "/ready");
        let status = tokio::time::timeout(Duration::from_secs(1), asked).await;
        status == Ok(Some(200))
    }

    fn record_event(&mut self, kind: NodeEventKind) {
        let at = Instant::now();
        self.events.push(NodeEvent { at, kind });
    }
}
