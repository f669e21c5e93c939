//! Small fleet: real node processes beside stand-ins.

use std::{
    fs::File,
    io::Write,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use geranium_standins::{CALLER_HOST, KvServer, Machine, MachineAddrs};

use crate::{
    endpoint::{Endpoint, Serve},
    http::{Message, exchange},
    record::Record,
};

/// Longest time in which a fleet gets ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time that callers state.
const DEADLINE_MS: &str = "4000";

static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// Node process with the backend server beside it.
pub struct Node {
    pub machine: Machine,
    pub endpoint: Arc<Endpoint>,
    /// Text that replaces a part of the settings: what, and by what.
    pub replaced: Vec<(&'static str, &'static str)>,
    settings: PathBuf,
    log: PathBuf,
    /// File with the ids of all processes started.
    pids: PathBuf,
    child: Option<Child>,
}

/// Nodes around one store.
pub struct Fleet {
    pub store: KvServer,
    pub nodes: Vec<Node>,
    pub record: Arc<Record>,
    directory: PathBuf,
}

impl Fleet {
    /// Starts a store without nodes, whose files lie in `directory`.
    pub fn new(nodes_max: usize, directory: &Path, record: Arc<Record>) -> Self {
        Self {
            store: KvServer::start(nodes_max),
            nodes: Vec::new(),
            record,
            directory: directory.to_owned(),
        }
    }

    /// Starts a node with a backend server that runs requests with `serve`.
    pub fn add(&mut self, service: &str, revoke_s: Option<f64>, serve: Box<Serve>) {
        self.add_with(service, revoke_s, &[], serve);
    }

    /// Starts a node like [`Fleet::add`] with parts of its settings replaced.
    pub fn add_with(
        &mut self,
        service: &str,
        revoke_s: Option<f64>,
        replaced: &[(&'static str, &'static str)],
        serve: Box<Serve>,
    ) {
        let addrs = MachineAddrs::free();
        let machine = Machine {
            addrs,
            app_addr: addrs.endpoint,
            data_centre: "riga-a".to_owned(),
            service: service.to_owned(),
            store: self.store.addr(self.nodes.len()),
            link_mbps: 1_000.0,
            first_start: true,
            has_rollouts: false,
            revoke_s,
        };
        let endpoint = Endpoint::start(machine.clone(), Arc::clone(&self.record), serve);
        let mut node = Node {
            settings: self.directory.join(format!("{}.toml", machine.name())),
            log: self.directory.join(format!("{}.log", machine.name())),
            machine,
            endpoint,
            replaced: replaced.to_vec(),
            pids: self.directory.join("pids"),
            child: None,
        };
        node.run();
        self.nodes.push(node);
    }

    /// Waits until every node is ready and every backend server is announced.
    pub fn settle(&self) -> Result<(), String> {
        let until = Instant::now() + READY_TIMEOUT;
        while Instant::now() < until {
            let announced = self.store.state().keys("geranium/member/").len();
            if announced >= self.nodes.len() && self.nodes.iter().all(Node::knows_all(announced)) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the fleet isn't ready".to_owned())
    }

    /// Sends a request from the machine of a node and returns its id and the answer.
    pub fn call(&self, node: usize, method: &str, path: &str, extra: &[(&str, &str)]) -> Call {
        let id = format!("q{}", REQUESTS.fetch_add(1, Ordering::SeqCst));
        let mut headers = vec![
            ("Host", CALLER_HOST),
            ("X-Geraniumspring-Request-Id", &*id),
            ("X-Geraniumspring-Deadline-Ms", DEADLINE_MS),
            ("Connection", "close"),
        ];
        headers.extend(extra);
        let body: &[u8] = if method == "POST" { b"order" } else { b"" };
        self.record
            .note(&format!("sent     {id} {method} {path} at node {node}"));
        let answer = exchange(
            self.nodes[node].machine.addrs.callers,
            method,
            path,
            &headers,
            body,
        );
        let status = answer.as_ref().map_or(0, Message::status);
        self.record.note(&format!("answered {id} {status}"));
        Call { id, answer }
    }
}

/// Request with its answer; none if the connection ended without one.
pub struct Call {
    pub id: String,
    pub answer: Option<Message>,
}

impl Call {
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }
}

impl Node {
    /// Starts the process with the command of the deploy file.
    pub fn run(&mut self) {
        self.write_settings();
        self.machine.first_start = false;
        let log = File::options().create(true).append(true).open(&self.log);
        let child = Command::new("target/release/geranium-node")
            .args(["--metrics-port", "9464"])
            .env("GERANIUMSPRING_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("the log can be opened"))
            .stderr(Stdio::inherit())
            .spawn();
        let child = child.expect("geranium-node is built");
        let pids = File::options().create(true).append(true).open(&self.pids);
        let written = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        written.expect("the folder can be written");
        self.child = Some(child);
    }

    /// Writes the settings file.
    pub fn write_settings(&self) {
        let mut text = self.machine.settings_text();
        for (part, by) in &self.replaced {
            text = text.replace(part, by);
        }
        std::fs::write(&self.settings, text).expect("the folder can be written");
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let child = self.child.as_ref().expect("the process runs");
        let sent = Command::new("kill")
            .args(["-s", signal, &child.id().to_string()])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "the signal can be sent"
        );
    }

    /// Waits until the process has ended; kills it after `limit`. Returns whether it ended itself.
    pub fn wait_end(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let child = self.child.as_mut().expect("the process runs");
        while Instant::now() < until {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.child = None;
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
        false
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _reaped = child.wait();
        }
    }

    /// Whether `/ready` answers 200.
    pub fn is_ready(&self) -> bool {
        let host = [("Host", "node"), ("Connection", "close")];
        let answer = exchange(self.machine.addrs.readiness, "GET", "/ready", &host, b"");
        answer.is_some_and(|answer| answer.status() == 200)
    }

    fn knows_all(count: usize) -> impl Fn(&Self) -> bool {
        move |node| {
            let mut metrics = node.machine.addrs.metrics;
            metrics.set_port(9464);
            let host = [("Host", "node"), ("Connection", "close")];
            let page = exchange(metrics, "GET", "/members", &host, b"").unwrap_or_default();
            let page = String::from_utf8_lossy(&page.body).into_owned();
            node.is_ready() && page.matches("\"hop\"").count() >= count
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
