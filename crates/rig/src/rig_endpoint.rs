//! A backend server beside a node, which can crash, drain and restart.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use geranium_node::node_clock::NodeClock;
use geranium_standins::{
    EndpointFault, EndpointOptions, EndpointServer, Heartbeat, HeartbeatState, Machine, RunRecord,
    deregistration_body, deregistration_path,
};
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    http_post::http_post,
    notice_span::{NoticeKind, NoticeSpan},
};

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);
/// Longest wait for the acknowledgment of a report, as on the platform.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Run time of a request that doesn't set `work`.
const RUN_TIME: Duration = Duration::from_millis(20);
/// Response size for a request that doesn't set `bytes`.
const RESPONSE_BYTES: usize = 300;
/// Requests that a backend server runs concurrently.
const SLOTS: u32 = 12;

/// A drain or deregistration that a node has acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AckedDrain {
    /// Identifier of the backend server.
    pub instance: String,
    /// Start time of the backend server, in Unix milliseconds.
    pub born_ms: u64,
    /// When the acknowledgment arrived.
    pub at: Instant,
}

impl AckedDrain {
    /// Whether the drain belongs to the given start of a backend server.
    pub fn is_of(&self, instance: &str, born_ms: u64) -> bool {
        self.instance == instance && self.born_ms == born_ms
    }
}

#[derive(Debug)]
struct EndpointState {
    /// Number at the end of the identifier.
    instance_number: u64,
    /// Start time, in Unix milliseconds.
    born_ms: u64,
    sequence: u64,
    reported: HeartbeatState,
    /// Whether the running start has deregistered; it reports no more.
    has_deregistered: bool,
    server: Option<EndpointServer>,
    fault: EndpointFault,
    work: Duration,
    past_runs: Vec<RunRecord>,
    acked_drains: Vec<AckedDrain>,
    notices: Vec<NoticeSpan>,
    /// What the running start says of itself in its responses.
    open_notices: Vec<NoticeSpan>,
}

/// A backend server beside a node. It posts heartbeats to the node, and can crash,
/// drain and restart.
#[derive(Debug)]
pub struct RigEndpoint {
    machine: Machine,
    state: Arc<Mutex<EndpointState>>,
    heartbeats: JoinHandle<()>,
}

impl RigEndpoint {
    /// Starts the backend server and its heartbeats.
    pub fn start(machine: Machine) -> Self {
        let state = EndpointState {
            instance_number: 0,
            born_ms: 0,
            sequence: 0,
            reported: HeartbeatState::Ready,
            has_deregistered: false,
            server: None,
            fault: EndpointFault::Sound,
            work: RUN_TIME,
            past_runs: Vec::new(),
            acked_drains: Vec::new(),
            notices: Vec::new(),
            open_notices: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        let heartbeats = tokio::spawn(send_heartbeats(machine.clone(), Arc::clone(&state)));
        let endpoint = Self {
            machine,
            state,
            heartbeats,
        };
        endpoint.restart_new_identifier();
        endpoint
    }

    /// Stops the backend server without notice; open connections close.
    pub fn crash(&self) {
        self.state().stop_server();
    }

    /// Restarts the backend server under a new identifier.
    pub fn restart_new_identifier(&self) {
        let mut state = self.state();
        state.instance_number += 1;
        state.start_server(&self.machine);
    }

    /// Restarts the backend server under the same identifier.
    pub fn restart_same_identifier(&self) {
        self.state().start_server(&self.machine);
    }

    /// Sets the fault of the backend server, also for later starts.
    pub fn set_fault(&self, fault: EndpointFault) {
        let mut state = self.state();
        state.fault = fault;
        if let Some(server) = &state.server {
            server.options().fault = with_crashes(fault);
        }
    }

    /// Makes every run take `times` as long as usual.
    pub fn slow_down(&self, times: u32) {
        let mut state = self.state();
        state.work = RUN_TIME * times;
        if let Some(server) = &state.server {
            server.options().work = RUN_TIME * times;
        }
    }

    /// Makes every response of the running start say `kind`.
    pub fn begin_notice(&self, kind: NoticeKind) {
        let mut state = self.state();
        let Some(server) = &state.server else {
            return;
        };
        match kind {
            NoticeKind::Limit(per_s) => server.options().rate_limit = Some(per_s.to_string()),
            NoticeKind::Leaving => server.options().leaving = true,
        }
        let now = Instant::now();
        let span = NoticeSpan {
            instance: state.instance(&self.machine),
            born_ms: state.born_ms,
            kind,
            from: now,
            to: now,
        };
        state.open_notices.push(span);
    }

    /// Ends everything that the responses of the running start say, a leaving that another fault began
    /// included. Nodes that have heard of a leaving are bound by it all the same.
    pub fn end_notices(&self) {
        self.state().end_notices();
    }

    /// Returns what starts of the backend server said of themselves in their responses.
    pub fn notices(&self) -> Vec<NoticeSpan> {
        let mut state = self.state();
        state.end_notices();
        state.notices.clone()
    }

    /// Reports that the backend server drains. Returns when its node acknowledges this,
    /// or after `limit`.
    pub async fn drain(&self, limit: Duration) {
        let acknowledged = async {
            loop {
                let heartbeat = {
                    let mut state = self.state();
                    state.reported = HeartbeatState::Draining;
                    if let Some(server) = &state.server {
                        server.options().healthy = false;
                    }
                    state.next_heartbeat(&self.machine)
                };
                if post(&self.machine, &heartbeat.path(), heartbeat.body()).await {
                    self.record_drain(heartbeat.instance, heartbeat.born_ms.unwrap_or(0));
                    return;
                }
                sleep(HEARTBEAT_INTERVAL / 4).await;
            }
        };
        let _unacknowledged = timeout(limit, acknowledged).await;
    }

    /// Returns a heartbeat that is held up on its way.
    pub fn held_heartbeat(&self) -> Heartbeat {
        self.state().next_heartbeat(&self.machine)
    }

    /// Posts a heartbeat that was held up.
    pub async fn post_late(&self, heartbeat: &Heartbeat) {
        // The node may be down.
        let _acknowledged = post(&self.machine, &heartbeat.path(), heartbeat.body()).await;
    }

    /// Deregisters the backend server, which serves on and whose health checks pass. Returns when its
    /// node acknowledges this, or after `limit`.
    pub async fn deregister_first(&self, limit: Duration) {
        let (instance, born_ms) = {
            let mut state = self.state();
            state.has_deregistered = true;
            (state.instance(&self.machine), state.born_ms)
        };
        let path = deregistration_path(&instance);
        let acknowledged = async {
            while !post(&self.machine, &path, deregistration_body(born_ms)).await {
                sleep(HEARTBEAT_INTERVAL / 4).await;
            }
            self.record_drain(instance, born_ms);
        };
        let _unacknowledged = timeout(limit, acknowledged).await;
    }

    /// Deregisters the backend server and stops it.
    pub async fn deregister(&self) {
        let (instance, born_ms) = {
            let state = self.state();
            (state.instance(&self.machine), state.born_ms)
        };
        if post(
            &self.machine,
            &deregistration_path(&instance),
            deregistration_body(born_ms),
        )
        .await
        {
            self.record_drain(instance, born_ms);
        }
        self.crash();
    }

    /// Returns all recorded runs, across restarts.
    pub fn runs(&self) -> Vec<RunRecord> {
        let state = self.state();
        let current_runs = state.server.iter().flat_map(EndpointServer::runs);
        state
            .past_runs
            .iter()
            .cloned()
            .chain(current_runs)
            .collect()
    }

    /// Returns the drains and deregistrations that its node acknowledged.
    pub fn acked_drains(&self) -> Vec<AckedDrain> {
        self.state().acked_drains.clone()
    }

    /// Whether the backend server is running.
    pub fn is_running(&self) -> bool {
        self.state().server.is_some()
    }

    /// Posts heartbeats that don't come from the backend server: one with an unknown
    /// state, and one for a service that doesn't exist.
    pub async fn post_foreign(&self) {
        let mut heartbeat = self.state().next_heartbeat(&self.machine);
        let unknown = heartbeat.body().replace("ready", "odd");
        let path = heartbeat.path();
        "i-foreign".clone_into(&mut heartbeat.instance);
        "nowhere".clone_into(&mut heartbeat.service);
        for (path, body) in [(path, unknown), (heartbeat.path(), heartbeat.body())] {
            // The node rejects them, or is down.
            let _refused = post(&self.machine, &path, body).await;
        }
    }

    fn record_drain(&self, instance: String, born_ms: u64) {
        let drain = AckedDrain {
            instance,
            born_ms,
            at: Instant::now(),
        };
        let mut state = self.state();
        let known = |known: &AckedDrain| drain.is_of(&known.instance, known.born_ms);
        if !state.acked_drains.iter().any(known) {
            state.acked_drains.push(drain);
        }
    }

    fn state(&self) -> MutexGuard<'_, EndpointState> {
        self.state.lock().expect("not poisoned")
    }
}

impl Drop for RigEndpoint {
    fn drop(&mut self) {
        self.heartbeats.abort();
    }
}

impl EndpointState {
    fn stop_server(&mut self) {
        self.end_notices();
        if let Some(server) = self.server.take() {
            self.past_runs.extend(server.end());
        }
    }

    /// Records what the running start said of itself until now, and ends it.
    fn end_notices(&mut self) {
        let to = Instant::now();
        let ended = self.open_notices.drain(..);
        self.notices
            .extend(ended.map(|span| NoticeSpan { to, ..span }));
        if let Some(server) = &self.server {
            let mut options = server.options();
            options.rate_limit = None;
            options.leaving = false;
        }
    }

    /// Starts the server, and stops a running one first. Two faults may start it at the
    /// same time, but only one server can listen on the address.
    fn start_server(&mut self, machine: &Machine) {
        self.stop_server();
        self.born_ms = NodeClock::unix_ms().max(self.born_ms + 1);
        self.sequence = 0;
        self.reported = HeartbeatState::Ready;
        self.has_deregistered = false;
        let options = self.options(machine);
        self.server = Some(EndpointServer::start(machine.addrs.endpoint, options));
    }

    /// Restarts the server under a new identifier if a request has crashed it.
    fn restart_crashed(&mut self, machine: &Machine) {
        if self.server.as_ref().is_some_and(EndpointServer::has_ended) {
            self.instance_number += 1;
            self.start_server(machine);
        }
    }

    fn instance(&self, machine: &Machine) -> String {
        let ip = machine.addrs.peer_addr.ip().to_string().replace('.', "-");
        format!("i-{ip}-{}", self.instance_number)
    }

    fn options(&self, machine: &Machine) -> EndpointOptions {
        EndpointOptions {
            instance: self.instance(machine),
            born_ms: self.born_ms,
            work: self.work,
            response_bytes: RESPONSE_BYTES,
            healthy: true,
            fault: with_crashes(self.fault),
            rate_limit: None,
            server_load: None,
            callers: None,
            leaving: false,
        }
    }

    fn next_heartbeat(&mut self, machine: &Machine) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            instance: self.instance(machine),
            born_ms: Some(self.born_ms),
            service: machine.service.clone(),
            address: machine.addrs.endpoint,
            data_centre: machine.data_centre.clone(),
            version: "v1".to_owned(),
            slots: SLOTS,
            state: self.reported,
            sequence: self.sequence,
        }
    }
}

/// Returns the fault, with crashes on request in place of no fault.
fn with_crashes(fault: EndpointFault) -> EndpointFault {
    if fault == EndpointFault::Sound {
        EndpointFault::CrashesOnRequest
    } else {
        fault
    }
}

/// Posts heartbeats while the backend server is running.
async fn send_heartbeats(machine: Machine, state: Arc<Mutex<EndpointState>>) {
    loop {
        let heartbeat = {
            let mut state = state.lock().expect("not poisoned");
            state.restart_crashed(&machine);
            let running = state.server.is_some() && !state.has_deregistered;
            running.then(|| state.next_heartbeat(&machine))
        };
        if let Some(heartbeat) = heartbeat {
            // If this one isn't acknowledged, the next follows.
            let _acknowledged = post(&machine, &heartbeat.path(), heartbeat.body()).await;
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn post(machine: &Machine, path: &str, body: String) -> bool {
    let status = timeout(ACK_TIMEOUT, http_post(machine.addrs.admin, path, &body)).await;
    matches!(status, Ok(Some(200..300)))
}
