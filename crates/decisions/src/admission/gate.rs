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
//! Grounds:
//! - `REVIEW_EVERY`: what became hopeless is found within 4 ms, so its refusal
//!   is final within 10 ms with a slow poll in between. A review looks at each
//!   waiting job once.
//! - `BULK_PATIENCE`: a bulk job that waited for a second takes a slot before
//!   prompt work if bulk has none. At 12 slots prompt work keeps eleven.
//! - `RETRY_MIN` and `RETRY_MAX` bound the advice where the drain rate is
//!   unknown, or next to nothing because the backend server hangs.

use std::time::Duration;

use geranium_model::{RequestClass, ResultCode};

use super::{
    AdmissionSettings, GateDecision, GateGauge, JobCancel, JobEnd, JobId, JobOffer, JobRefusal,
    JobReport,
    drain_meter::DrainMeter,
    fair_lane::{FairLane, LinePlace},
    job_arena::{HeldJob, JobArena, JobKey},
    job_lane::JobLane,
    service_estimate::ServiceEstimate,
    slot_limit::SlotLimit,
};

const CLASSES: usize = 3;
const LANES: usize = 2;
const REVIEW_EVERY: Duration = Duration::from_millis(4);
const BULK_PATIENCE: Duration = Duration::from_secs(1);
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
    pub fn reconfigure(&mut self, now: Duration, settings: AdmissionSettings) {
        self.advance(now);
        self.settings = settings;
        self.limit.resize(settings.slots());
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
        let Some(started) = self.arena.job(key).started else {
            return;
        };
        let at_once: u32 = self.running.iter().sum();
        let job = self.arena.remove(key);
        self.running[job.class as usize] -= 1;
        let spent = match report.end {
            JobEnd::Ran => {
                self.estimates[job.class as usize].observe(report.service);
                self.limit
                    .observe(self.now, job.class, started, report.service);
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
    /// it at once, without the wait that this queue still had ahead of it.
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
    pub fn next_wake(&self) -> Option<Duration> {
        if !self.ready.is_empty() {
            return Some(self.now);
        }
        (self.waiting() > 0).then_some(self.next_review)
    }

    /// Returns the gate's figures.
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
            self.meters[lane as usize].advance(self.now, busy, service_us);
        }
    }

    /// Checks that a job can end in time and that there is room for it.
    fn check_offer(&mut self, job: &HeldJob) -> Result<(), JobRefusal> {
        let lane = job.lane();
        if self.may_start(lane) && self.lane(lane).is_empty() {
            return self.check_service(job);
        }
        self.check_wait(job, self.lane(lane).ahead_of(job.tag))?;
        self.make_room(job)
    }

    /// Refuses a job that would end too late if it started now.
    ///
    /// One job of a class always runs: without it, a class that was slow once
    /// would be refused for good, as nothing would show that it is fast again.
    fn check_service(&self, job: &HeldJob) -> Result<(), JobRefusal> {
        let allowance = self.estimates[job.class as usize].allowance();
        let is_probe = self.running[job.class as usize] == 0;
        if is_probe || self.now + allowance <= job.deadline {
            return Ok(());
        }
        Err(JobRefusal {
            code: ResultCode::DeadlineUnreachable,
            retry_after: RETRY_MIN,
        })
    }

    /// Refuses a job that would end too late behind `ahead` others.
    fn check_wait(&self, job: &HeldJob, ahead: usize) -> Result<(), JobRefusal> {
        let wait = self.wait_behind(job.lane(), ahead);
        let allowance = self.estimates[job.class as usize].allowance();
        let ends = self.now.saturating_add(wait).saturating_add(allowance);
        if ends <= job.deadline {
            return Ok(());
        }
        Err(JobRefusal {
            code: ResultCode::DeadlineUnreachable,
            retry_after: ends
                .saturating_sub(job.deadline)
                .clamp(RETRY_MIN, RETRY_MAX),
        })
    }

    /// Finds a queue place for the job, if need be that of another.
    fn make_room(&mut self, job: &HeldJob) -> Result<(), JobRefusal> {
        let lane = job.lane();
        let bulk_waiting = self.lane(JobLane::Bulk).len();
        if lane == JobLane::Bulk && bulk_waiting >= self.settings.bulk_places() {
            let places = self.settings.bulk_places();
            return self.displace_within(job, places, ResultCode::BulkShareFull);
        }
        if self.waiting() < usize::from(self.settings.queue()) {
            return Ok(());
        }
        let reserve = self.settings.bulk_reserve();
        if lane == JobLane::Prompt && bulk_waiting > reserve {
            self.refuse_last(JobLane::Bulk, ResultCode::BulkShareFull);
            return Ok(());
        }
        if lane == JobLane::Bulk && bulk_waiting < reserve {
            self.refuse_last(JobLane::Prompt, ResultCode::QueueFull);
            return Ok(());
        }
        let places = self.lane(lane).len();
        self.displace_within(job, places, ResultCode::QueueFull)
    }

    /// Takes the place of whoever holds most of the lane, if that is more than
    /// a share and more than the job's own caller and key would hold.
    fn displace_within(
        &mut self,
        job: &HeldJob,
        places: usize,
        full: ResultCode,
    ) -> Result<(), JobRefusal> {
        let lane = self.lane(job.lane());
        let by_caller = lane.callers.waiting(job.caller);
        let by_key = job.key.map_or(0, |key| lane.keys.waiting(key));
        let joining = usize::from(lane.callers.is_idle(job.caller));
        let share = lane.callers.share_of(places, joining);
        let over_share = by_caller >= share && lane.callers.active() + joining > 1;
        let excess = lane.excess_job(places, by_caller.max(by_key) + 1);
        if !over_share && let Some(victim) = excess {
            self.refuse_over_share(victim);
            return Ok(());
        }
        let code = if over_share {
            ResultCode::CallerOverShare
        } else {
            full
        };
        Err(JobRefusal {
            code,
            retry_after: self.retry_after(job.lane(), self.lane(job.lane()).len()),
        })
    }

    fn dispatch(&mut self) {
        while let Some(lane) = self.next_lane() {
            let slots = match lane {
                JobLane::Prompt => self.limit.get(),
                JobLane::Bulk => self.bulk_slots(),
            };
            let Some(key) = self.lane_mut(lane).pop(slots) else {
                return;
            };
            self.start(key);
        }
    }

    /// Runs a job that left its line, or refuses it if it would end too late.
    fn start(&mut self, key: JobKey) {
        let job = *self.arena.job(key);
        if let Err(refusal) = self.check_service(&job) {
            let lane = self.lane_mut(job.lane());
            lane.refund(job.caller, job.key, job.charged);
            self.arena.remove(key);
            self.refuse_offer(job.id, refusal.code, refusal.retry_after);
            return;
        }
        self.arena.job_mut(key).started = Some(self.now);
        self.running[job.class as usize] += 1;
        self.meters[job.lane() as usize].count();
        self.lane_mut(job.lane()).begin_run(job.caller, job.key);
        self.ready.push(GateDecision::Run(job.id));
    }

    /// Returns the lane whose first job may start now.
    fn next_lane(&self) -> Option<JobLane> {
        if self.bulk_is_due() && self.may_start(JobLane::Bulk) {
            return Some(JobLane::Bulk);
        }
        [JobLane::Prompt, JobLane::Bulk]
            .into_iter()
            .find(|lane| !self.lane(*lane).is_empty() && self.may_start(*lane))
    }

    /// Reports whether the lane has a slot free.
    fn may_start(&self, lane: JobLane) -> bool {
        let running: u32 = self.running.iter().sum();
        let slot_free = running < self.limit.get();
        match lane {
            JobLane::Prompt => slot_free,
            JobLane::Bulk => slot_free && self.lane(lane).running < self.bulk_slots(),
        }
    }

    fn bulk_is_due(&self) -> bool {
        let bulk = self.lane(JobLane::Bulk);
        let is_due = |key| self.now >= self.arena.job(key).offered + BULK_PATIENCE;
        bulk.running == 0 && bulk.first().is_some_and(is_due)
    }

    /// Refuses what became hopeless.
    fn review(&mut self) {
        self.next_review = self.now + REVIEW_EVERY;
        let mut doomed = std::mem::take(&mut self.doomed);
        for lane in [JobLane::Prompt, JobLane::Bulk] {
            let mut ahead = 0;
            for key in self.lane(lane).iter() {
                match self.check_wait(self.arena.job(key), ahead) {
                    Ok(()) => ahead += 1,
                    Err(refusal) => doomed.push((key, refusal)),
                }
            }
        }
        for (key, refusal) in doomed.drain(..) {
            self.refuse_held(key, refusal.code, refusal.retry_after);
        }
        self.doomed = doomed;
    }

    /// Refuses the last job of whoever holds most of a lane, or its last.
    fn refuse_last(&mut self, lane: JobLane, code: ResultCode) {
        let places = self.lane(lane).len();
        if let Some(victim) = self.lane(lane).excess_job(places, 1) {
            self.refuse_over_share(victim);
        } else if let Some(last) = self.lane(lane).last() {
            let retry_after = self.retry_after(lane, places);
            self.refuse_held(last, code, retry_after);
        }
    }

    fn refuse_over_share(&mut self, victim: JobKey) {
        let lane = self.arena.job(victim).lane();
        let retry_after = self.retry_after(lane, self.lane(lane).len());
        self.refuse_held(victim, ResultCode::CallerOverShare, retry_after);
    }

    fn refuse_held(&mut self, key: JobKey, code: ResultCode, retry_after: Duration) {
        let job = self.withdraw(key);
        self.refuse_offer(job.id, code, retry_after);
    }

    fn refuse_offer(&mut self, id: JobId, code: ResultCode, retry_after: Duration) {
        let refusal = JobRefusal { code, retry_after };
        self.ready.push(GateDecision::Refuse(id, refusal));
    }

    fn withdraw(&mut self, key: JobKey) -> HeldJob {
        let job = self.arena.remove(key);
        self.lane_mut(job.lane())
            .withdraw(job.tag, job.seq, job.charged);
        job
    }

    fn retry_after(&self, lane: JobLane, ahead: usize) -> Duration {
        self.wait_behind(lane, ahead).clamp(RETRY_MIN, RETRY_MAX)
    }

    /// Returns how long the lane takes to run `ahead` jobs and one more.
    fn wait_behind(&self, lane: JobLane, ahead: usize) -> Duration {
        let Some(rate) = self.drain_rate(lane) else {
            return Duration::ZERO;
        };
        let seconds = (ahead + 1) as f64 / rate;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns jobs a second that leave the lane to run.
    fn drain_rate(&self, lane: JobLane) -> Option<f64> {
        let service_us = self.lane_service_us(lane)?;
        let slots = match lane {
            JobLane::Prompt => self.limit.get(),
            JobLane::Bulk => self.bulk_slots(),
        };
        let by_slots = f64::from(slots) / (service_us.max(1.0) * 1e-6);
        Some(
            self.meters[lane as usize]
                .rate(service_us)
                .unwrap_or(by_slots),
        )
    }

    /// Returns the mean service time of what runs in a lane.
    fn lane_service_us(&self, lane: JobLane) -> Option<f64> {
        let mean = |class: RequestClass| self.estimates[class as usize].mean_us();
        match lane {
            JobLane::Bulk => mean(RequestClass::Bulk),
            JobLane::Prompt => match (mean(RequestClass::Once), mean(RequestClass::Short)) {
                (Some(once), Some(short)) => Some(f64::midpoint(once, short)),
                (once, short) => once.or(short),
            },
        }
    }

    fn expected_cost(&self, class: RequestClass) -> u64 {
        let mean = self.estimates[class as usize].mean_us();
        mean.map_or(1, |mean| mean.max(1.0) as u64)
    }

    fn bulk_slots(&self) -> u32 {
        self.settings.bulk_slots(self.limit.get())
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
