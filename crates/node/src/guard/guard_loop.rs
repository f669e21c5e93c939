//! The guard thread: admission, tickets and crash records in one place.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use geranium_decisions::{
    admission::{
        AdmissionGate, AdmissionInput, AdmissionSettings, GateDecision, JobCancel, JobEnd, JobId,
        JobOffer, JobReport,
    },
    once::{
        LedgerSettings, LedgerVerdict, OnceTicket, RunKey, StoredAnswer, TicketLedger, TicketOwner,
    },
    poison::{PoisonRegister, PoisonVerdict},
};
use geranium_model::{
    CrashRow, FleetPolicy, Incarnation, InstanceName, Outcome, Preset, ResultCode, ServiceName,
};
use rand::{SeedableRng, rngs::SmallRng};
use slog::{Logger, info, warn};

use super::{
    BackendClient, BackendNotice, GuardEvent, ReplySink, StreamTable,
    backend_call::{BackendCall, CallEnd},
    canceller::CancelOrder,
    worker_pool::{WorkOrder, WorkerPool},
};
use crate::{
    metrics::NodeMetrics,
    wire::{AnswerHead, BodyPart, HeaderPair, MintQuestion, PeerAnswer, PeerRequest, Refusal},
};

/// Slots before the backend server announced any; nothing runs by them.
const SLOTS_UNKNOWN: u16 = 1;
/// Queue before a preset named one.
const QUEUE_DEFAULT: u16 = 64;
/// Longest queue: each request that waits holds a context of the data port,
/// of which more must stay free to refuse at once.
const QUEUE_MAX: u16 = 512;
/// Bulk share before a preset named one.
const BULK_SHARE_DEFAULT: f64 = 0.5;
/// Longest sleep without an event.
const IDLE_WAKE: Duration = Duration::from_millis(500);
/// Copies of one ticket that may wait for its first run to end.
const JOINED_MAX: usize = 4;
/// Advice for a request that came before the backend server is up.
const NO_BACKEND_RETRY_MS: u32 = 500;

/// What a guard is made of.
#[derive(Debug)]
pub struct GuardParts {
    /// Own instance.
    pub instance: InstanceName,
    /// Start of this node process.
    pub started: Incarnation,
    /// Origin of the monotonic clock.
    pub origin: Instant,
    /// Time without progress after which a stream is ended.
    pub stall_timeout: Duration,
    /// Events.
    pub events: Receiver<GuardEvent>,
    /// The same ring, for the workers.
    pub results: Sender<GuardEvent>,
    /// Crashes to spread.
    pub crashes: Sender<CrashRow>,
    /// Cancellations for the backend server.
    pub cancels: Sender<CancelOrder>,
    /// Set while requests wait or run.
    pub busy: Arc<AtomicBool>,
    /// Streams of this node.
    pub streams: Arc<StreamTable>,
    /// Metrics.
    pub metrics: Arc<NodeMetrics>,
    /// Log.
    pub log: Logger,
}

/// A request that waits or runs.
#[derive(Debug)]
struct HeldJob {
    request: Option<Box<PeerRequest>>,
    sink: Option<ReplySink>,
    deadline: Instant,
    ticket: Option<HeldTicket>,
    fingerprint: u64,
    request_id: String,
    from: InstanceName,
}

/// The one attempt that a ticket has under way here.
#[derive(Debug, Clone, Copy)]
struct HeldTicket {
    sequence: u64,
    run: RunKey,
}

/// The backend server as announced.
#[derive(Debug)]
struct OwnBackend {
    client: BackendClient,
    service: ServiceName,
    slots: u16,
    announced: u64,
}

/// State of the guard thread.
#[derive(Debug)]
pub struct GuardLoop {
    parts: GuardParts,
    gate: AdmissionGate,
    ledger: TicketLedger,
    poison: PoisonRegister,
    pool: WorkerPool,
    backend: Option<OwnBackend>,
    preset: Option<Arc<Preset>>,
    draining: bool,
    backend_leaves: bool,
    jobs: HashMap<JobId, HeldJob>,
    running: HashSet<JobId>,
    joined: HashMap<u64, Vec<ReplySink>>,
    decisions: Vec<GateDecision>,
    next_id: u64,
    rng: SmallRng,
}

impl GuardLoop {
    /// Makes a guard without a backend server.
    pub fn new(parts: GuardParts) -> Self {
        let owner = TicketOwner {
            instance: parts.instance.clone(),
            started: parts.started,
        };
        let pool = WorkerPool::new(parts.results.clone());
        Self {
            gate: AdmissionGate::new(gate_settings(SLOTS_UNKNOWN, None)),
            ledger: TicketLedger::new(owner, LedgerSettings::default()),
            poison: PoisonRegister::new(FleetPolicy::default()),
            pool,
            parts,
            backend: None,
            preset: None,
            draining: false,
            backend_leaves: false,
            jobs: HashMap::new(),
            running: HashSet::new(),
            joined: HashMap::new(),
            decisions: Vec::new(),
            next_id: 0,
            rng: SmallRng::from_rng(&mut rand::rng()),
        }
    }

    /// Handles events until the ring is closed.
    pub fn run(mut self) {
        loop {
            match self.parts.events.recv_timeout(self.wake_in()) {
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.settle();
            self.parts
                .busy
                .store(!self.jobs.is_empty(), Ordering::Release);
        }
    }

    fn now(&self) -> Duration {
        self.parts.origin.elapsed()
    }

    fn wake_in(&self) -> Duration {
        let next = self.gate.next_wake();
        next.map_or(IDLE_WAKE, |at| at.saturating_sub(self.now()).min(IDLE_WAKE))
    }

    fn handle(&mut self, event: GuardEvent) {
        match event {
            GuardEvent::Offer(request, sink) => self.offer(request, sink),
            GuardEvent::Finished { id, end, service } => self.finished(id, end, service),
            GuardEvent::Cancel { request_id, from } => self.cancel(&request_id, &from),
            GuardEvent::Mint(question, sink) => self.mint(&question, sink),
            GuardEvent::NextPart {
                stream,
                offset,
                sink,
            } => {
                self.parts.streams.take(stream, offset, sink);
            }
            GuardEvent::Backend(notice) => self.notice(notice),
            GuardEvent::Preset(preset) => self.follow(preset),
            GuardEvent::Crash(row) => {
                self.poison.record(self.now(), row);
            }
            GuardEvent::Drain => {
                // What waits here was accepted and still runs: its callers see
                // one slow answer instead of a refusal.
                self.draining = true;
            }
            GuardEvent::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        self.parts.streams.sweep(self.parts.stall_timeout);
        let gauge = self.gate.gauge();
        let metrics = &self.parts.metrics;
        metrics.gate("running", u64::from(gauge.running));
        metrics.gate("waiting", u64::from(gauge.waiting));
        metrics.gate("limit", u64::from(gauge.limit));
        metrics.gate("streams", self.parts.streams.len() as u64);
    }

    fn offer(&mut self, request: Box<PeerRequest>, sink: ReplySink) {
        // The ledger comes first: whatever refuses a request with a ticket must
        // also end the ticket, or a copy could run after "not run" was said.
        let ticket = match self.check_ticket(&request) {
            Ok(ticket) => ticket,
            Err(TicketStop::Join(sequence)) => return self.join(sequence, sink),
            Err(TicketStop::Answer(answer)) => return sink.reply(answer),
        };
        if let Err(refusal) = self.check(&request) {
            let refusal = match ticket {
                Some(ticket) => self.retire(ticket, refusal),
                None => refusal,
            };
            return sink.reply(PeerAnswer::Refused(refusal));
        }
        self.next_id += 1;
        let id = JobId(self.next_id);
        let wait = Duration::from_millis(u64::from(request.deadline_ms));
        let now = self.now();
        self.gate.offer(
            now,
            JobOffer {
                id,
                class: request.class,
                caller: request.caller,
                key: request.key,
                deadline: now + wait,
            },
        );
        let job = HeldJob {
            deadline: Instant::now() + wait,
            ticket,
            fingerprint: request.fingerprint,
            request_id: request.request_id.clone(),
            from: request.from.clone(),
            request: Some(request),
            sink: Some(sink),
        };
        self.jobs.insert(id, job);
    }

    /// Refuses what must not run here, before anything is noted of it.
    fn check(&mut self, request: &PeerRequest) -> Result<(), Refusal> {
        let Some(backend) = &self.backend else {
            return Err(Refusal::not_run(ResultCode::NoBackend, NO_BACKEND_RETRY_MS));
        };
        // A sender whose membership is old may mean the instance that had this
        // address before.
        if backend.service != request.service {
            return Err(Refusal::not_run(ResultCode::NoBackend, 0));
        }
        if self.draining || self.backend_leaves {
            return Err(Refusal::not_run(ResultCode::Draining, 0));
        }
        match self.poison.verdict(self.now(), request.fingerprint) {
            PoisonVerdict::Refused { retry_after } => {
                let retry_after_ms = retry_after.as_millis() as u32;
                Err(Refusal::not_run(ResultCode::Poisoned, retry_after_ms))
            }
            PoisonVerdict::Clear | PoisonVerdict::Suspect => Ok(()),
        }
    }

    /// Asks the ledger whether a request with a ticket may run now.
    fn check_ticket(&mut self, request: &PeerRequest) -> Result<Option<HeldTicket>, TicketStop> {
        let Some(text) = &request.ticket else {
            return Ok(None);
        };
        let Ok(ticket) = text.parse::<OnceTicket>() else {
            let refusal = Refusal::not_run(ResultCode::BadTicket, 0);
            return Err(TicketStop::Answer(PeerAnswer::Refused(refusal)));
        };
        let verdict = self.ledger.admit(self.now(), &ticket, request.fingerprint);
        let outcome = verdict.outcome();
        let code = match verdict {
            LedgerVerdict::Run(run) => {
                return Ok(Some(HeldTicket {
                    sequence: ticket.sequence(),
                    run,
                }));
            }
            LedgerVerdict::Running => return Err(TicketStop::Join(ticket.sequence())),
            LedgerVerdict::Replay(answer) => return Err(TicketStop::Answer(replay(&answer))),
            LedgerVerdict::RanAnswerDropped => ResultCode::AnswerBroken,
            LedgerVerdict::MaybeRan => ResultCode::BackendBroke,
            LedgerVerdict::Retired => ResultCode::TicketExpired,
            LedgerVerdict::Refuse(code) => code,
        };
        let refusal = Refusal {
            code,
            outcome,
            retry_after_ms: 0,
        };
        Err(TicketStop::Answer(PeerAnswer::Refused(refusal)))
    }

    /// Lets a copy of a running ticket wait for the answer of its first run.
    fn join(&mut self, sequence: u64, sink: ReplySink) {
        let joined = self.joined.entry(sequence).or_default();
        if joined.len() < JOINED_MAX {
            joined.push(sink);
        } else {
            sink.reply(PeerAnswer::Refused(Refusal::maybe_run(
                ResultCode::TicketRunning,
            )));
        }
    }

    fn mint(&mut self, question: &MintQuestion, sink: ReplySink) {
        let here = self
            .backend
            .as_ref()
            .is_some_and(|own| own.service == question.service);
        if !here || self.draining || self.backend_leaves {
            let code = if here {
                ResultCode::Draining
            } else {
                ResultCode::NoBackend
            };
            sink.reply(PeerAnswer::Refused(Refusal::not_run(code, 0)));
            return;
        }
        let now = self.now();
        let caller = format!("{:016x}", question.caller);
        let ticket = self.ledger.mint(now, &caller, &mut self.rng);
        sink.reply(PeerAnswer::Minted(ticket.to_string()));
    }

    /// Carries out what the gate decided.
    fn settle(&mut self) {
        let mut decisions = std::mem::take(&mut self.decisions);
        self.gate.poll(self.now(), &mut decisions);
        for decision in decisions.drain(..) {
            match decision {
                GateDecision::Run(id) => self.start(id),
                GateDecision::Refuse(id, refusal) => {
                    let retry_after_ms = refusal.retry_after.as_millis() as u32;
                    self.refuse(id, Refusal::not_run(refusal.code, retry_after_ms));
                }
            }
        }
        self.decisions = decisions;
    }

    fn start(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let (Some(request), Some(sink)) = (job.request.take(), job.sink.take()) else {
            return;
        };
        let Some(backend) = &self.backend else {
            job.sink = Some(sink);
            self.gate
                .finish(self.parts.origin.elapsed(), id, not_run_report());
            self.refuse(
                id,
                Refusal::not_run(ResultCode::NoBackend, NO_BACKEND_RETRY_MS),
            );
            return;
        };
        let call = BackendCall {
            client: backend.client.clone(),
            request: *request,
            stream: id.0,
            deadline: job.deadline,
            streams: Arc::clone(&self.parts.streams),
            stall_timeout: self.parts.stall_timeout,
        };
        let order = WorkOrder {
            id,
            call,
            sink,
            record_first: job.ticket.is_some(),
        };
        match self.pool.submit(order) {
            Ok(()) => {
                self.running.insert(id);
            }
            Err(order) => {
                job.sink = Some(order.sink);
                self.gate
                    .finish(self.parts.origin.elapsed(), id, not_run_report());
                self.refuse(
                    id,
                    Refusal::not_run(ResultCode::QueueFull, NO_BACKEND_RETRY_MS),
                );
            }
        }
    }

    /// Ends a request that certainly did not run.
    fn refuse(&mut self, id: JobId, refusal: Refusal) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let refusal = match job.ticket {
            Some(ticket) => self.retire(ticket, refusal),
            None => refusal,
        };
        if let Some(sink) = job.sink {
            sink.reply(PeerAnswer::Refused(refusal));
        }
    }

    /// Ends a ticket whose attempt is proved not to have run.
    ///
    /// The caller hears "not run" and will order anew with another ticket. A
    /// copy of this request that is held up somewhere must not run after that,
    /// so the ticket is dead from here on.
    fn retire(&mut self, ticket: HeldTicket, refusal: Refusal) -> Refusal {
        let dead = self.ledger.retire(ticket.run);
        let outcome = if dead {
            Outcome::NotRun
        } else {
            Outcome::MaybeRun
        };
        let refusal = Refusal { outcome, ..refusal };
        self.answer_joined(ticket.sequence, &PeerAnswer::Refused(refusal));
        refusal
    }

    fn answer_joined(&mut self, sequence: u64, answer: &PeerAnswer) {
        for sink in self.joined.remove(&sequence).unwrap_or_default() {
            sink.reply(answer.clone());
        }
    }

    fn finished(&mut self, id: JobId, end: CallEnd, service: Duration) {
        self.running.remove(&id);
        let now = self.now();
        let job_end = match &end {
            CallEnd::Whole { .. } | CallEnd::Streamed => JobEnd::Ran,
            CallEnd::NotRun(_) => JobEnd::ShedNotRun,
            CallEnd::TimedOut | CallEnd::Broke { .. } => JobEnd::Broke,
        };
        self.gate.finish(
            now,
            id,
            JobReport {
                service,
                end: job_end,
            },
        );
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        match &end {
            CallEnd::Broke { crashed: true } => self.crashed(&job),
            CallEnd::Whole { .. } | CallEnd::Streamed => self.poison.completed(job.fingerprint),
            _ => {}
        }
        if let Some(ticket) = job.ticket {
            self.record_ticket(ticket, end);
        }
    }

    fn record_ticket(&mut self, ticket: HeldTicket, end: CallEnd) {
        let answer = match end {
            CallEnd::Whole { head, body } => {
                self.ledger.finished(ticket.run, store(&head, &body));
                let head = AnswerHead {
                    replayed: true,
                    ..head
                };
                PeerAnswer::Answered {
                    head,
                    part: BodyPart::Last(body),
                }
            }
            CallEnd::NotRun(code) => {
                self.retire(ticket, Refusal::not_run(code, NO_BACKEND_RETRY_MS));
                return;
            }
            // The body went straight to its asker and wasn't kept.
            CallEnd::Streamed => {
                self.ledger.broke(ticket.run);
                ran_unkept()
            }
            CallEnd::TimedOut => {
                self.ledger.broke(ticket.run);
                PeerAnswer::Refused(Refusal::maybe_run(ResultCode::DeadlineWhileRunning))
            }
            CallEnd::Broke { .. } => {
                self.ledger.broke(ticket.run);
                PeerAnswer::Refused(Refusal::maybe_run(ResultCode::BackendBroke))
            }
        };
        self.answer_joined(ticket.sequence, &answer);
    }

    /// Notes a request that ran when the backend server went away.
    fn crashed(&mut self, job: &HeldJob) {
        let announced = self.backend.as_ref().map_or(0, |backend| backend.announced);
        let row = CrashRow {
            fingerprint: job.fingerprint,
            instance: self.parts.instance.clone(),
            announced: Incarnation::new(announced),
        };
        warn!(self.parts.log, "backend server crashed under a request";
            "request_id" => &job.request_id, "fingerprint" => format!("{:016x}", job.fingerprint));
        if self.poison.record(self.now(), row.clone()) {
            // Dropped when the ring is full: the next crash brings another.
            let _ = self.parts.crashes.try_send(row);
        }
    }

    fn cancel(&mut self, request_id: &str, from: &InstanceName) {
        let found = self
            .jobs
            .iter()
            .find(|(_, job)| job.request_id == request_id && job.from == *from)
            .map(|(id, job)| (*id, job.ticket.is_some()));
        let Some((id, has_ticket)) = found else {
            return;
        };
        // An order whose caller left is wanted all the same: its resend asks
        // for the answer.
        if has_ticket {
            return;
        }
        self.parts.streams.abandon(id.0);
        match self.gate.cancel(self.now(), id) {
            JobCancel::Running => self.cancel_running(request_id),
            _ => self.refuse(id, Refusal::not_run(ResultCode::DeadlineBeforeRun, 0)),
        }
    }

    fn cancel_running(&self, request_id: &str) {
        let Some(backend) = &self.backend else { return };
        let order = CancelOrder {
            client: backend.client.clone(),
            request_id: request_id.to_owned(),
        };
        let _ = self.parts.cancels.try_send(order);
    }

    fn notice(&mut self, notice: BackendNotice) {
        match notice {
            BackendNotice::Up {
                addr,
                service,
                slots,
                announced,
            } => {
                info!(self.parts.log, "backend server is up";
                    "service" => %service, "addr" => %addr, "slots" => slots);
                let client = BackendClient::new(addr);
                self.backend = Some(OwnBackend {
                    client,
                    service,
                    slots,
                    announced,
                });
                if std::mem::take(&mut self.backend_leaves) {
                    // Another backend server took the place of the one that
                    // left; the gate that refuses everything left with it.
                    self.gate = AdmissionGate::new(gate_settings(slots, None));
                }
                self.reconfigure();
            }
            BackendNotice::Leaving => {
                self.backend_leaves = true;
                self.gate.start_draining(self.now());
            }
            BackendNotice::Lost => self.backend = None,
        }
    }

    fn follow(&mut self, preset: Arc<Preset>) {
        self.poison.set_policy(preset.fleet());
        self.preset = Some(preset);
        self.reconfigure();
    }

    fn reconfigure(&mut self) {
        let Some(backend) = &self.backend else { return };
        let policy = self
            .preset
            .as_ref()
            .and_then(|preset| preset.service(&backend.service));
        let settings = gate_settings(backend.slots, policy);
        self.gate.reconfigure(self.now(), settings);
    }
}

/// Why a request with a ticket doesn't go on to admission.
enum TicketStop {
    Join(u64),
    Answer(PeerAnswer),
}

fn gate_settings(
    announced: u16,
    policy: Option<&geranium_model::ServicePolicy>,
) -> AdmissionSettings {
    let input = AdmissionInput {
        slots: policy
            .and_then(|policy| policy.slots)
            .unwrap_or(announced)
            .max(1),
        queue: policy
            .map_or(QUEUE_DEFAULT, |policy| policy.queue)
            .min(QUEUE_MAX),
        bulk_share: policy.map_or(BULK_SHARE_DEFAULT, |policy| policy.bulk_share),
    };
    AdmissionSettings::try_from(input).expect("a checked policy has slots and a bulk share")
}

fn ran_unkept() -> PeerAnswer {
    let (code, outcome) = (ResultCode::AnswerBroken, Outcome::Ran);
    PeerAnswer::Refused(Refusal {
        code,
        outcome,
        retry_after_ms: 0,
    })
}

fn not_run_report() -> JobReport {
    JobReport {
        service: Duration::ZERO,
        end: JobEnd::ShedNotRun,
    }
}

fn store(head: &AnswerHead, body: &[u8]) -> StoredAnswer {
    StoredAnswer {
        status: head.status,
        headers: head
            .headers
            .iter()
            .filter_map(|pair| {
                Some((
                    pair.name.clone(),
                    String::from_utf8(pair.value.clone()).ok()?,
                ))
            })
            .collect(),
        body: body.to_vec(),
    }
}

fn replay(answer: &StoredAnswer) -> PeerAnswer {
    let headers = answer
        .headers
        .iter()
        .map(|(name, value)| HeaderPair {
            name: name.clone(),
            value: value.clone().into_bytes(),
        })
        .collect();
    let head = AnswerHead {
        status: answer.status,
        headers,
        length: Some(answer.body.len() as u64),
        load: None,
        replayed: true,
    };
    PeerAnswer::Answered {
        head,
        part: BodyPart::Last(answer.body.clone()),
    }
}
