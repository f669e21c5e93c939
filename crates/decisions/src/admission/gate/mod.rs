//! The gate in front of a node's own backend server.
//!
//! Load pattern: bursts and lasting overload at a backend server with a dozen
//! slots, from many callers, with long jobs among short ones.
//!
//! Without it: an unbounded queue serves in order of arrival. At twice its
//! capacity the wait grows without end, soon every job ends after its caller
//! left, and the backend server is busy all the time for nobody.
//!
//! What can't end in time is refused at once, on arrival or as soon as it
//! becomes so; prompt work runs before bulk work, which holds a bounded share
//! of the slots and never starves; and a full queue makes room for whoever has
//! less than their share.
//!
//! Grounds: `RETRY_MIN` and `RETRY_MAX` bound the advice where the drain rate is
//! unknown, or next to nothing because the backend server hangs. `entry`,
//! `dispatch` and `review` hold one rule each and the figures of their own.

mod dispatch;
mod entry;
mod rates;
mod review;

use std::time::Duration;

use geranium_model::ResultCode;

use super::{
    AdmissionSettings, CLASSES, GateDecision, GateGauge, JobCancel, JobEnd, JobId, JobOffer,
    JobRefusal, JobReport,
    drain_meter::DrainMeter,
    fair_lane::{FairLane, LinePlace, PlaceClaim},
    job_arena::{HeldJob, JobArena, JobKey},
    job_lane::JobLane,
    service_estimate::ServiceEstimate,
    slot_limit::SlotLimit,
};

const LANES: usize = 2;
const RETRY_MIN: Duration = Duration::from_millis(1);
const RETRY_MAX: Duration = Duration::from_secs(30);

/// Admission of requests to one backend server.
///
/// Time is the caller's monotonic clock; a step back counts as no time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_decisions::admission::*;
/// use geranium_model::RequestClass;
///
/// let input = AdmissionInput { slots: 1, queue: 8, bulk_share: 0.5 };
/// let mut gate = AdmissionGate::new(AdmissionSettings::try_from(input).unwrap());
/// let offer = |id| JobOffer {
///     id: JobId(id),
///     class: RequestClass::Short,
///     caller: 7,
///     key: None,
///     deadline: Duration::from_secs(1),
/// };
/// let mut out = Vec::new();
/// gate.offer(Duration::ZERO, offer(1));
/// gate.offer(Duration::ZERO, offer(2));
/// gate.poll(Duration::ZERO, &mut out);
/// assert_eq!(out, [GateDecision::Run(JobId(1))]);
///
/// let service = Duration::from_millis(10);
/// let report = JobReport { service, end: JobEnd::Ran };
/// gate.finish(service, JobId(1), report);
/// out.clear();
/// gate.poll(service, &mut out);
/// assert_eq!(out, [GateDecision::Run(JobId(2))]);
/// ```
#[derive(Debug)]
pub struct AdmissionGate {
    settings: AdmissionSettings,
    limit: SlotLimit,
    arena: JobArena,
    lanes: [FairLane; LANES],
    meters: [DrainMeter; LANES],
    estimates: [ServiceEstimate; CLASSES],
    running: [u32; CLASSES],
    ready: Vec<GateDecision>,
    doomed: Vec<(JobKey, JobRefusal)>,
    offers: u64,
    now: Duration,
    next_review: Duration,
    draining: bool,
}

impl AdmissionGate {
    /// Makes a gate with nothing waiting or running.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            limit: SlotLimit::new(settings.slots()),
            arena: JobArena::default(),
            lanes: Default::default(),
            meters: Default::default(),
            estimates: Default::default(),
            running: [0; CLASSES],
            ready: Vec::new(),
            doomed: Vec::new(),
            offers: 0,
            now: Duration::ZERO,
            next_review: Duration::ZERO,
            draining: false,
        }
    }

    /// Takes other settings; jobs that no longer fit the queue are refused.
    ///
    /// Jobs that run beyond fewer slots go on; no new one starts until enough
    /// of them ended.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use geranium_decisions::admission::*;
    /// # use geranium_model::{RequestClass, ResultCode};
    /// # let input = AdmissionInput { slots: 1, queue: 8, bulk_share: 0.5 };
    /// # let settings = AdmissionSettings::try_from(input).unwrap();
    /// # let mut gate = AdmissionGate::new(settings);
    /// # let (caller, key, class) = (7, None, RequestClass::Short);
    /// # let (now, deadline) = (Duration::ZERO, Duration::from_secs(1));
    /// # for id in [JobId(1), JobId(2)] {
    /// #     gate.offer(now, JobOffer { id, class, caller, key, deadline });
    /// # }
    /// # let mut out = Vec::new();
    /// # gate.poll(now, &mut out);
    /// // Job 1 runs in the only slot, and job 2 waits.
    /// let input = AdmissionInput { slots: 2, queue: 8, bulk_share: 0.5 };
    /// gate.reconfigure(now, AdmissionSettings::try_from(input).unwrap());
    /// out.clear();
    /// gate.poll(now, &mut out);
    /// assert_eq!(out, [GateDecision::Run(JobId(2))]);
    /// ```
    pub fn reconfigure(&mut self, now: Duration, settings: AdmissionSettings) {
        self.advance(now);
        self.settings = settings;
        self.limit.resize(self.now, settings.slots());
        self.dispatch();
        while self.lane(JobLane::Bulk).len() > settings.bulk_places() {
            self.refuse_last(JobLane::Bulk, ResultCode::BulkShareFull);
        }
        while self.waiting() > usize::from(settings.queue()) {
            let prompt_waits = !self.lane(JobLane::Prompt).is_empty();
            let bulk_over = self.lane(JobLane::Bulk).len() > settings.bulk_reserve();
            let lane = if prompt_waits && !bulk_over {
                JobLane::Prompt
            } else {
                JobLane::Bulk
            };
            self.refuse_last(lane, ResultCode::QueueFull);
        }
    }

    /// Offers a job; the next poll runs or refuses it, or it waits.
    ///
    /// # Panics
    ///
    /// Panics when the gate holds a job of this identifier.
    pub fn offer(&mut self, now: Duration, offer: JobOffer) {
        self.advance(now);
        if self.draining {
            self.refuse_offer(offer.id, ResultCode::Draining, Duration::ZERO);
            return;
        }
        if offer.deadline <= self.now {
            self.refuse_offer(offer.id, ResultCode::DeadlineBeforeRun, Duration::ZERO);
            return;
        }
        let class_lane = JobLane::from(offer.class);
        let (caller, key) = self.lane_mut(class_lane).enroll(offer.caller, offer.key);
        let tag = self.lane(class_lane).tag_for(caller, key);
        let seq = self.offers;
        self.offers += 1;
        let job = HeldJob {
            id: offer.id,
            class: offer.class,
            caller,
            key,
            deadline: offer.deadline,
            offered: self.now,
            started: None,
            tag,
            seq,
            charged: self.expected_cost(offer.class),
        };
        if let Err(refusal) = self.check_offer(&job) {
            self.refuse_offer(offer.id, refusal.code, refusal.retry_after);
            return;
        }
        let job_key = self.arena.insert(job);
        let place = LinePlace {
            tag,
            seq,
            job: job_key,
            caller,
            key,
        };
        self.lane_mut(class_lane).push(place, job.charged);
        self.dispatch();
    }

    /// Reports that a running job ended; unknown jobs are ignored.
    pub fn finish(&mut self, now: Duration, id: JobId, report: JobReport) {
        self.advance(now);
        let Some(key) = self.arena.find(id) else {
            return;
        };
        if self.arena.job(key).started.is_none() {
            return;
        }
        let at_once: u32 = self.running.iter().sum();
        let job = self.arena.remove(key);
        self.running[job.class as usize] -= 1;
        let spent = match report.end {
            JobEnd::Ran => {
                self.estimates[job.class as usize].observe(report.service);
                self.limit.observe(self.now, job.class, report.service);
                report.service.as_micros() as u64
            }
            JobEnd::ShedNotRun => {
                self.limit.observe_shed(self.now, at_once);
                0
            }
            JobEnd::Broke => report.service.as_micros() as u64,
        };
        self.lane_mut(job.lane())
            .end_run(job.caller, job.key, job.charged, spent);
        self.dispatch();
    }

    /// Withdraws a waiting job, whose caller left.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use geranium_decisions::admission::*;
    /// # use geranium_model::{RequestClass, ResultCode};
    /// # let input = AdmissionInput { slots: 1, queue: 8, bulk_share: 0.5 };
    /// # let settings = AdmissionSettings::try_from(input).unwrap();
    /// # let mut gate = AdmissionGate::new(settings);
    /// # let (caller, key, class) = (7, None, RequestClass::Short);
    /// # let (now, deadline) = (Duration::ZERO, Duration::from_secs(1));
    /// # for id in [JobId(1), JobId(2)] {
    /// #     gate.offer(now, JobOffer { id, class, caller, key, deadline });
    /// # }
    /// # let mut out = Vec::new();
    /// # gate.poll(now, &mut out);
    /// // Job 1 runs in the only slot, and job 2 waits.
    /// assert_eq!(gate.cancel(now, JobId(1)), JobCancel::Running);
    /// assert_eq!(gate.cancel(now, JobId(2)), JobCancel::Withdrawn);
    /// ```
    pub fn cancel(&mut self, now: Duration, id: JobId) -> JobCancel {
        self.advance(now);
        let Some(key) = self.arena.find(id) else {
            return JobCancel::Unknown;
        };
        if self.arena.job(key).started.is_some() {
            return JobCancel::Running;
        }
        self.withdraw(key);
        JobCancel::Withdrawn
    }

    /// Refuses what waits and every later offer; what runs goes on.
    ///
    /// A waiting job hasn't reached the backend server, so another node can run
    /// it. Measured, short work ends about as soon there as here; but letting
    /// it run here would give a leaving backend server new work for as long as
    /// the queue is, which for bulk work is minutes.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use geranium_decisions::admission::*;
    /// # use geranium_model::{RequestClass, ResultCode};
    /// # let input = AdmissionInput { slots: 1, queue: 8, bulk_share: 0.5 };
    /// # let settings = AdmissionSettings::try_from(input).unwrap();
    /// # let mut gate = AdmissionGate::new(settings);
    /// # let (caller, key, class) = (7, None, RequestClass::Short);
    /// # let (now, deadline) = (Duration::ZERO, Duration::from_secs(1));
    /// # for id in [JobId(1), JobId(2)] {
    /// #     gate.offer(now, JobOffer { id, class, caller, key, deadline });
    /// # }
    /// # let mut out = Vec::new();
    /// # gate.poll(now, &mut out);
    /// // Job 1 runs in the only slot, and job 2 waits.
    /// gate.start_draining(now);
    /// out.clear();
    /// gate.poll(now, &mut out);
    /// let (code, retry_after) = (ResultCode::Draining, Duration::ZERO);
    /// let refusal = JobRefusal { code, retry_after };
    /// assert_eq!(out, [GateDecision::Refuse(JobId(2), refusal)]);
    /// ```
    pub fn start_draining(&mut self, now: Duration) {
        self.advance(now);
        self.draining = true;
        for lane in [JobLane::Prompt, JobLane::Bulk] {
            while let Some(key) = self.lane(lane).first() {
                self.refuse_held(key, ResultCode::Draining, Duration::ZERO);
            }
        }
    }

    /// Appends the decisions that are due to `out`.
    pub fn poll(&mut self, now: Duration, out: &mut Vec<GateDecision>) {
        self.advance(now);
        if self.waiting() > 0 && self.now >= self.next_review {
            self.review();
        }
        self.dispatch();
        out.append(&mut self.ready);
    }

    /// Returns when to poll next, if no offer or finish comes first.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use geranium_decisions::admission::*;
    /// # use geranium_model::{RequestClass, ResultCode};
    /// # let input = AdmissionInput { slots: 1, queue: 8, bulk_share: 0.5 };
    /// # let settings = AdmissionSettings::try_from(input).unwrap();
    /// # let mut gate = AdmissionGate::new(settings);
    /// # let (caller, key, class) = (7, None, RequestClass::Short);
    /// # let (now, deadline) = (Duration::ZERO, Duration::from_secs(1));
    /// # for id in [JobId(1), JobId(2)] {
    /// #     gate.offer(now, JobOffer { id, class, caller, key, deadline });
    /// # }
    /// # let mut out = Vec::new();
    /// # gate.poll(now, &mut out);
    /// // Job 1 runs in the only slot, and job 2 waits.
    /// assert!(gate.next_wake().is_some());
    /// gate.cancel(now, JobId(2));
    /// assert_eq!(gate.next_wake(), None);
    /// ```
    pub fn next_wake(&self) -> Option<Duration> {
        if !self.ready.is_empty() {
            return Some(self.now);
        }
        (self.waiting() > 0).then_some(self.next_review)
    }

    /// Returns the gate's figures.
    ///
    /// # Examples
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use geranium_decisions::admission::*;
    /// # use geranium_model::{RequestClass, ResultCode};
    /// # let input = AdmissionInput { slots: 1, queue: 8, bulk_share: 0.5 };
    /// # let settings = AdmissionSettings::try_from(input).unwrap();
    /// # let mut gate = AdmissionGate::new(settings);
    /// # let (caller, key, class) = (7, None, RequestClass::Short);
    /// # let (now, deadline) = (Duration::ZERO, Duration::from_secs(1));
    /// # for id in [JobId(1), JobId(2)] {
    /// #     gate.offer(now, JobOffer { id, class, caller, key, deadline });
    /// # }
    /// # let mut out = Vec::new();
    /// # gate.poll(now, &mut out);
    /// // Job 1 runs in the only slot, and job 2 waits.
    /// assert_eq!((gate.gauge().running, gate.gauge().waiting), (1, 1));
    /// ```
    pub fn gauge(&self) -> GateGauge {
        let rates = [JobLane::Prompt, JobLane::Bulk].map(|lane| self.drain_rate(lane));
        GateGauge {
            running: self.running.iter().sum(),
            waiting: self.waiting() as u32,
            limit: self.limit.get(),
            drain_rate: rates.into_iter().flatten().sum(),
        }
    }

    fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
        for lane in [JobLane::Prompt, JobLane::Bulk] {
            let service_us = self.lane_service_us(lane).unwrap_or(0.0);
            let busy = !self.lane(lane).is_empty();
            let slots = self.lane_slots(lane);
            self.meters[lane as usize].advance(self.now, busy, slots, service_us);
        }
    }

    fn waiting(&self) -> usize {
        self.lanes.iter().map(FairLane::len).sum()
    }

    fn lane(&self, lane: JobLane) -> &FairLane {
        &self.lanes[lane as usize]
    }

    fn lane_mut(&mut self, lane: JobLane) -> &mut FairLane {
        &mut self.lanes[lane as usize]
    }
}
