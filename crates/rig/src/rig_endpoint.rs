//! A backend server beside a node, with its life.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use geranium_node::node_clock::NodeClock;
use geranium_standins::{
    EndpointFault, EndpointOptions, EndpointServer, Heartbeat, HeartbeatState, Machine, RunRecord,
    farewell_body, farewell_path,
};
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::http_post::http_post;

/// Time between heartbeats.
const BEAT_TIME: Duration = Duration::from_millis(700);
/// Longest wait for an acknowledgment, as the platform's.
const ACK_TIME: Duration = Duration::from_secs(1);
/// Time of a run, unless the request asks for another.
const WORK_TIME: Duration = Duration::from_millis(20);
/// Bytes of an answer, unless the request asks for others.
const ANSWER_BYTES: usize = 300;
/// Requests that a backend server runs at a time.
const SLOTS: u32 = 12;

/// A leaving that a node has acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AckedLeaving {
    /// Identifier of the one that leaves.
    pub instance: String,
    /// Unix milliseconds of its start.
    pub born_ms: u64,
    /// When the acknowledgment came.
    pub at: Instant,
}

impl AckedLeaving {
    /// Whether it is of the start under `instance` at `born_ms`.
    pub fn is_of(&self, instance: &str, born_ms: u64) -> bool {
        self.instance == instance && self.born_ms == born_ms
    }
}

#[derive(Debug)]
struct EndpointLife {
    /// Number of the identifier.
    name: u64,
    /// Unix milliseconds of the start.
    born_ms: u64,
    sequence: u64,
    state: HeartbeatState,
    server: Option<EndpointServer>,
    fault: EndpointFault,
    work: Duration,
    past_runs: Vec<RunRecord>,
    leavings: Vec<AckedLeaving>,
}

/// A backend server beside a node: it reports there, crashes, leaves and comes
/// back as another start.
#[derive(Debug)]
pub struct RigEndpoint {
    machine: Machine,
    life: Arc<Mutex<EndpointLife>>,
    beats: JoinHandle<()>,
}

impl RigEndpoint {
    /// Starts it on its machine.
    pub fn start(machine: Machine) -> Self {
        let life = EndpointLife {
            name: 0,
            born_ms: 0,
            sequence: 0,
            state: HeartbeatState::Ready,
            server: None,
            fault: EndpointFault::Sound,
            work: WORK_TIME,
            past_runs: Vec::new(),
            leavings: Vec::new(),
        };
        let life = Arc::new(Mutex::new(life));
        let beats = tokio::spawn(beat(machine.clone(), Arc::clone(&life)));
        let endpoint = Self {
            machine,
            life,
            beats,
        };
        endpoint.come_back();
        endpoint
    }

    /// Ends it without a word; open requests break off.
    pub fn crash(&self) {
        self.life().end();
    }

    /// Starts it again under another identifier.
    pub fn come_back(&self) {
        let mut life = self.life();
        life.name += 1;
        life.begin(&self.machine);
    }

    /// Starts it again under the identifier that it had.
    pub fn come_back_as_before(&self) {
        self.life().begin(&self.machine);
    }

    /// Gives it a fault.
    pub fn set_fault(&self, fault: EndpointFault) {
        let mut life = self.life();
        life.fault = fault;
        if let Some(server) = &life.server {
            server.options().fault = with_crashes(fault);
        }
    }

    /// Makes every run take so many times as long as usual.
    pub fn slow_down(&self, times: u32) {
        let mut life = self.life();
        life.work = WORK_TIME * times;
        if let Some(server) = &life.server {
            server.options().work = WORK_TIME * times;
        }
    }

    /// Reports that it leaves and waits until its node acknowledges, or
    /// `patience` is over.
    pub async fn leave(&self, patience: Duration) {
        let acknowledged = async {
            loop {
                let beat = {
                    let mut life = self.life();
                    life.state = HeartbeatState::Draining;
                    if let Some(server) = &life.server {
                        server.options().healthy = false;
                    }
                    life.beat(&self.machine)
                };
                if send(&self.machine, &beat.path(), beat.body()).await {
                    self.note_leaving(beat.instance, beat.born_ms.unwrap_or(0));
                    return;
                }
                sleep(BEAT_TIME / 4).await;
            }
        };
        let _unheard = timeout(patience, acknowledged).await;
    }

    /// Says farewell and ends.
    pub async fn deregister(&self) {
        let (instance, born_ms) = {
            let life = self.life();
            (life.instance(&self.machine), life.born_ms)
        };
        if send(
            &self.machine,
            &farewell_path(&instance),
            farewell_body(born_ms),
        )
        .await
        {
            self.note_leaving(instance, born_ms);
        }
        self.crash();
    }

    /// Returns everything that it ran, in all its starts.
    pub fn runs(&self) -> Vec<RunRecord> {
        let life = self.life();
        let present = life.server.iter().flat_map(EndpointServer::runs);
        life.past_runs.iter().cloned().chain(present).collect()
    }

    /// Returns the leavings that its node acknowledged.
    pub fn leavings(&self) -> Vec<AckedLeaving> {
        self.life().leavings.clone()
    }

    /// Whether it lives.
    pub fn lives(&self) -> bool {
        self.life().server.is_some()
    }

    /// Posts heartbeats that aren't its own: of a service that isn't there, and
    /// of no known state.
    pub async fn post_foreign(&self) {
        let mut beat = self.life().beat(&self.machine);
        let unknown = beat.body().replace("ready", "odd");
        let path = beat.path();
        "i-foreign".clone_into(&mut beat.instance);
        "nowhere".clone_into(&mut beat.service);
        for (path, body) in [(path, unknown), (beat.path(), beat.body())] {
            // The node refuses them, or is down.
            let _refused = send(&self.machine, &path, body).await;
        }
    }

    fn note_leaving(&self, instance: String, born_ms: u64) {
        let leaving = AckedLeaving {
            instance,
            born_ms,
            at: Instant::now(),
        };
        let mut life = self.life();
        let known = |known: &AckedLeaving| leaving.is_of(&known.instance, known.born_ms);
        if !life.leavings.iter().any(known) {
            life.leavings.push(leaving);
        }
    }

    fn life(&self) -> MutexGuard<'_, EndpointLife> {
        self.life.lock().expect("no holder panics")
    }
}

impl Drop for RigEndpoint {
    fn drop(&mut self) {
        self.beats.abort();
    }
}

impl EndpointLife {
    fn end(&mut self) {
        if let Some(server) = self.server.take() {
            self.past_runs.extend(server.end());
        }
    }

    /// Begins a start. Two faults may do so at once: each ends what the other has
    /// begun, as one address takes one server.
    fn begin(&mut self, machine: &Machine) {
        self.end();
        self.born_ms = NodeClock::unix_ms().max(self.born_ms + 1);
        self.sequence = 0;
        self.state = HeartbeatState::Ready;
        let options = self.options(machine);
        self.server = Some(EndpointServer::start(machine.addrs.endpoint, options));
    }

    /// Starts it again, as another start, if a request has crashed it.
    fn restart_crashed(&mut self, machine: &Machine) {
        if self.server.as_ref().is_some_and(EndpointServer::has_ended) {
            self.name += 1;
            self.begin(machine);
        }
    }

    fn instance(&self, machine: &Machine) -> String {
        let ip = machine.addrs.peer_addr.ip().to_string().replace('.', "-");
        format!("i-{ip}-{}", self.name)
    }

    fn options(&self, machine: &Machine) -> EndpointOptions {
        EndpointOptions {
            instance: self.instance(machine),
            born_ms: self.born_ms,
            work: self.work,
            response_bytes: ANSWER_BYTES,
            healthy: true,
            fault: with_crashes(self.fault),
        }
    }

    fn beat(&mut self, machine: &Machine) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            instance: self.instance(machine),
            born_ms: Some(self.born_ms),
            service: machine.service.clone(),
            address: machine.addrs.endpoint,
            data_centre: machine.data_centre.clone(),
            slots: SLOTS,
            state: self.state,
            sequence: self.sequence,
        }
    }
}

/// Returns a fault, with crashes by requests that crash what runs them where there is none.
fn with_crashes(fault: EndpointFault) -> EndpointFault {
    if fault == EndpointFault::Sound {
        EndpointFault::CrashesOnRequest
    } else {
        fault
    }
}

/// Sends heartbeats while the backend server lives.
async fn beat(machine: Machine, life: Arc<Mutex<EndpointLife>>) {
    loop {
        let beat = {
            let mut life = life.lock().expect("no holder panics");
            life.restart_crashed(&machine);
            let lives = life.server.is_some();
            lives.then(|| life.beat(&machine))
        };
        if let Some(beat) = beat {
            // One that isn't acknowledged is followed by the next.
            let _acknowledged = send(&machine, &beat.path(), beat.body()).await;
        }
        sleep(BEAT_TIME).await;
    }
}

async fn send(machine: &Machine, path: &str, body: String) -> bool {
    let status = timeout(ACK_TIME, http_post(machine.addrs.reports, path, &body)).await;
    matches!(status, Ok(Some(200..300)))
}
