//! The guard thread: admission, tickets and crash records in one place.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use crossbeam::channel::RecvTimeoutError;
use geranium_decisions::{
    admission::{AdmissionGate, GateDecision, JobCancel, JobEnd, JobId, JobOffer, JobReport},
    once::TicketOwner,
    poison::{PoisonRegister, PoisonVerdict},
};
use geranium_model::{CrashRow, FleetPolicy, Incarnation, InstanceName, Preset, ResultCode};
use slog::{info, warn};

use super::{
    BackendClient, BackendNotice, GuardEvent, GuardParts, ReplySink,
    backend_call::{BackendCall, CallEnd},
    canceller::CancelOrder,
    held_job::HeldJob,
    own_backend::{OwnBackend, settings_before_any},
    ticket_desk::{TicketDesk, TicketStop},
    worker_pool::{WorkOrder, WorkerPool},
};
use crate::wire::{MintQuestion, PeerAnswer, PeerRequest, Refusal};

/// Longest sleep without an event.
const IDLE_WAKE: Duration = Duration::from_millis(500);
/// Advice for a request that came before the backend server is up.
const NO_BACKEND_RETRY_MS: u32 = 500;

/// State of the guard thread.
#[derive(Debug)]
pub struct GuardLoop {
    parts: GuardParts,
    gate: AdmissionGate,
    tickets: TicketDesk,
    poison: PoisonRegister,
    pool: WorkerPool,
    backend: Option<OwnBackend>,
    preset: Option<Arc<Preset>>,
    draining: bool,
    backend_leaves: bool,
    jobs: HashMap<JobId, HeldJob>,
    decisions: Vec<GateDecision>,
    next_id: u64,
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
            gate: AdmissionGate::new(settings_before_any()),
            tickets: TicketDesk::new(owner),
            poison: PoisonRegister::new(FleetPolicy::default()),
            pool,
            parts,
            backend: None,
            preset: None,
            draining: false,
            backend_leaves: false,
            jobs: HashMap::new(),
            decisions: Vec::new(),
            next_id: 0,
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
        let ticket = match self.tickets.check(self.now(), &request) {
            Ok(ticket) => ticket,
            Err(TicketStop::Join(sequence)) => return self.tickets.join(sequence, sink),
            Err(TicketStop::Answer(answer)) => return sink.reply(answer),
        };
        if let Err(refusal) = self.check(&request) {
            let refusal = match ticket {
                Some(ticket) => self.tickets.retire(ticket, refusal),
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
        let ticket = self.tickets.mint(self.now(), question.caller);
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
            return self.give_back(id, ResultCode::NoBackend);
        };
        let call = BackendCall {
            client: backend.client.clone(),
            request: *request,
            stream: id.0,
            deadline: job.deadline,
            streams: Arc::clone(&self.parts.streams),
            stall_timeout: self.parts.stall_timeout,
        };
        let order = WorkOrder { id, call, sink };
        if let Err(order) = self.pool.submit(order) {
            job.sink = Some(order.sink);
            self.give_back(id, ResultCode::QueueFull);
        }
    }

    /// Frees the slot of a request that couldn't be started after all.
    fn give_back(&mut self, id: JobId, code: ResultCode) {
        self.gate.finish(self.now(), id, not_run_report());
        self.refuse(id, Refusal::not_run(code, NO_BACKEND_RETRY_MS));
    }

    /// Ends a request that certainly did not run.
    fn refuse(&mut self, id: JobId, refusal: Refusal) {
        let Some(job) = self.jobs.remove(&id) else {
            return;
        };
        let refusal = match job.ticket {
            Some(ticket) => self.tickets.retire(ticket, refusal),
            None => refusal,
        };
        if let Some(sink) = job.sink {
            sink.reply(PeerAnswer::Refused(refusal));
        }
    }

    fn finished(&mut self, id: JobId, end: CallEnd, service: Duration) {
        let now = self.now();
        let job_end = match &end {
            CallEnd::Whole { .. } | CallEnd::Unkept => JobEnd::Ran,
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
            CallEnd::Whole { .. } | CallEnd::Unkept => self.poison.completed(job.fingerprint),
            _ => {}
        }
        if let Some(ticket) = job.ticket {
            self.tickets.record(ticket, end);
        }
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
                    self.gate = AdmissionGate::new(settings_before_any());
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
        let settings = backend.settings(self.preset.as_deref());
        self.gate.reconfigure(self.now(), settings);
    }
}

fn not_run_report() -> JobReport {
    JobReport {
        service: Duration::ZERO,
        end: JobEnd::ShedNotRun,
    }
}
