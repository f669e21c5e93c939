//! A simulated fleet: senders that pick members, and receivers with their admission queues.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use geranium_node::{
    inbound::{AdmissionDecision, AdmissionQueue, AdmissionRequest, QueueKey},
    member::{
        FleetView, LoadReport, MemberKey, MemberRecord, MemberState, PickQuery, TryOutcome,
        VersionFilter,
    },
    pace::{FinishedRun, RunPrediction},
    rate_limit::{LimitLoad, RequestRate},
    store::Revision,
};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

use super::uneven_speed::{MEAN_PACE, PaceHeader, UnevenSpeed};
use crate::support::start;

/// Number of nodes that send requests.
const SENDERS: usize = 60;
/// Number of nodes with a backend server.
pub const RECEIVERS: usize = 30;
const SLOTS: u32 = 9;
const TARGET: Duration = Duration::from_millis(600);
const STEP: Duration = Duration::from_millis(1);
pub const SIMULATED_TIME: Duration = Duration::from_secs(12);
/// Limits on members probed and members tried in all, as in the outbound proxy.
const PROBES: usize = 1;
const TRIES: usize = 3;
const ROUTE_HASH: u64 = 1;

/// How a sender picks a receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Picker {
    /// The node's own selection.
    Node,
    /// The shortest waiting time by the last reports. The request may be queued there.
    BestKnown,
}

/// Results for the callers.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadResult {
    pub offered: u32,
    pub in_time: u32,
    pub refused: u32,
    /// Runs that ended after their target time.
    pub late: u32,
    /// Refusals by nodes with a backend server.
    pub refusals: u32,
    /// Tries at members, including probes.
    attempts: u32,
    /// Runs in a data centre other than the caller's.
    remote_runs: u32,
}

impl LoadResult {
    pub fn share_in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered)
    }

    pub fn attempts_per_request(self) -> f64 {
        f64::from(self.attempts) / f64::from(self.offered)
    }

    /// Returns the sum of two results.
    pub fn add(self, other: Self) -> Self {
        Self {
            offered: self.offered + other.offered,
            in_time: self.in_time + other.in_time,
            refused: self.refused + other.refused,
            late: self.late + other.late,
            refusals: self.refusals + other.refusals,
            attempts: self.attempts + other.attempts,
            remote_runs: self.remote_runs + other.remote_runs,
        }
    }

    pub fn refusals_per_request(self) -> f64 {
        f64::from(self.refusals) / f64::from(self.offered)
    }

    /// Returns the share of the runs that ended too late.
    pub fn share_wasted(self) -> f64 {
        f64::from(self.late) / f64::from(self.late + self.in_time)
    }

    pub fn share_remote(self) -> f64 {
        f64::from(self.remote_runs) / f64::from(self.offered)
    }
}

/// A request of one sender.
#[derive(Debug, Clone, Copy)]
struct Request {
    sender: usize,
    receiver: usize,
    key: MemberKey,
    target_at: Duration,
    /// Tries that are left if this one is refused.
    tries_left: usize,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    request: Request,
    /// Runs at the receiver when this one began, and how long it was expected to take.
    running_at_start: u32,
    prediction: Option<RunPrediction>,
    began: Duration,
    ends_at: Duration,
}

/// A backend server with the queue of its node.
struct Receiver {
    queue: AdmissionQueue,
    /// Mean run time.
    work: Duration,
    running: Vec<Run>,
    /// Queued requests, each with the time until which it may wait.
    waiting: BTreeMap<QueueKey, (Request, Duration)>,
    /// Whether the backend server is gone while its node is alive.
    without_backend: bool,
    /// Rate that the backend server takes; none if it names no limit.
    limit: Option<RequestRate>,
    /// When runs began.
    starts: Vec<Duration>,
    /// How the speed varies; none for a constant one.
    speed: Option<UnevenSpeed>,
}

impl Receiver {
    fn report(&self, now: Duration, with_limit: bool) -> LoadReport {
        let limit = self.limit.filter(|_| with_limit).map(|rate| LimitLoad {
            rate,
            wait: self.queue.limit_wait(now, self.queue.waiting()),
        });
        LoadReport {
            running: self.queue.running() + self.queue.elsewhere(now),
            waiting: self.queue.waiting(),
            mean_run_time: self.queue.expected_run_time(now),
            route_run_time: self.queue.expected_run_time_of(now, ROUTE_HASH),
            link_backlog: Duration::ZERO,
            limit,
            pace: self.queue.pace(now),
        }
    }
}

fn peer_addr(receiver: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, receiver as u8 + 1], 7600))
}

/// Returns the data centre of a sender or receiver.
fn data_centre_name(number: usize, data_centres: usize) -> String {
    format!("dc-{}", number % data_centres)
}

fn record(receiver: usize, data_centres: usize) -> MemberRecord {
    MemberRecord {
        peer_addr: peer_addr(receiver),
        start: start(format!("i-{receiver}")),
        service: "orders".to_owned(),
        data_centre: data_centre_name(receiver, data_centres),
        version: None,
        suspended: false,
        is_final: false,
        left_before: None,
        slots: SLOTS,
        state: MemberState::Ready,
        link_mbps: 100,
        cold_ms: 0,
        registrar: None,
        sequence: 1,
    }
}

pub struct Fleet {
    picker: Picker,
    /// Load as a share of the capacity of all backend servers.
    load: f64,
    data_centres: usize,
    /// Share of the requests that come from the first data centre in addition to its even
    /// part.
    first_data_centre_share: f64,
    /// Outcome that senders record for a refusal of a node without a backend server.
    no_backend_outcome: TryOutcome,
    /// Whether senders are told of limits.
    tells_limits: bool,
    rng: StdRng,
    senders: Vec<FleetView>,
    /// Last report that each sender has of each receiver.
    last_reports: Vec<HashMap<usize, LoadReport>>,
    receivers: Vec<Receiver>,
    result: LoadResult,
}

impl Fleet {
    pub fn new(picker: Picker, load: f64) -> Self {
        Self::spread(picker, load, 1)
    }

    /// Creates a fleet whose senders and receivers are spread evenly over data centres.
    pub fn spread(picker: Picker, load: f64, data_centres: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(23);
        let senders = (0..SENDERS).map(|sender| {
            let mut view = FleetView::new(data_centre_name(sender, data_centres));
            for receiver in 0..RECEIVERS {
                let record = record(receiver, data_centres);
                view.announce(Duration::ZERO, record, Revision(receiver as u64 + 1));
            }
            view
        });
        // The slowest backend server takes up to three times as long as the fastest.
        let receivers = (0..RECEIVERS).map(|_| Receiver {
            queue: AdmissionQueue::new(SLOTS),
            work: Duration::from_millis(rng.random_range(120..360)),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            without_backend: false,
            limit: None,
            starts: Vec::new(),
            speed: None,
        });
        let (senders, receivers) = (senders.collect(), receivers.collect());
        Self {
            picker,
            load,
            data_centres,
            first_data_centre_share: 0.0,
            no_backend_outcome: TryOutcome::NoBackend,
            tells_limits: true,
            senders,
            last_reports: vec![HashMap::new(); SENDERS],
            receivers,
            result: LoadResult::default(),
            rng,
        }
    }

    /// Removes the backend servers of the last `count` receivers.
    pub fn without_backend(mut self, count: usize, no_backend_outcome: TryOutcome) -> Self {
        for receiver in &mut self.receivers[RECEIVERS - count..] {
            receiver.without_backend = true;
        }
        self.no_backend_outcome = no_backend_outcome;
        self
    }

    /// Lets the first `count` backend servers name the limit `rate`. Senders are told of it, or have
    /// to learn from refusals.
    pub fn with_limits(mut self, count: usize, rate: RequestRate, tells_limits: bool) -> Self {
        for receiver in &mut self.receivers[..count] {
            receiver.limit = Some(rate);
            receiver.queue.set_limit(Duration::ZERO, Some(rate));
        }
        self.tells_limits = tells_limits;
        self
    }

    /// Lets a quarter of the backend servers run slowly, and some of the others for moments. They
    /// report their pace as `header_of` says for each.
    pub fn uneven(load: f64, seed: u64, header_of: impl Fn(usize) -> PaceHeader) -> Self {
        let mut fleet = Self::new(Picker::Node, load);
        fleet.rng = StdRng::seed_from_u64(seed);
        for (number, receiver) in fleet.receivers.iter_mut().enumerate() {
            let uneven = UnevenSpeed::new(number, seed, header_of(number));
            receiver.work = uneven.usual_run_time();
            receiver.speed = Some(uneven);
        }
        fleet
    }

    /// Lets a share of the requests come from the first data centre instead of evenly.
    pub fn with_first_data_centre_share(mut self, first_data_centre_share: f64) -> Self {
        self.first_data_centre_share = first_data_centre_share;
        self
    }

    fn draw_sender(&mut self) -> usize {
        let sender = self.rng.random_range(0..SENDERS);
        if self.first_data_centre_share > 0.0 && self.rng.random_bool(self.first_data_centre_share)
        {
            sender - sender % self.data_centres
        } else {
            sender
        }
    }

    fn requests_per_second(&self) -> f64 {
        let rates = self.receivers.iter().map(|receiver| {
            let factor = receiver.speed.as_ref().map_or(1.0, |_| MEAN_PACE);
            1.0 / (receiver.work.as_secs_f64() * factor)
        });
        rates.sum::<f64>() * f64::from(SLOTS) * self.load
    }

    /// Simulates the load and returns the results for callers.
    pub fn simulate(self) -> LoadResult {
        self.simulate_starts().0
    }

    /// Simulates the load, and returns the results for callers and when runs began at each receiver.
    pub fn simulate_starts(mut self) -> (LoadResult, Vec<Vec<Duration>>) {
        let arrivals = self.requests_per_second() * STEP.as_secs_f64();
        let mut now = Duration::ZERO;
        while now < SIMULATED_TIME {
            self.end_runs(now);
            self.resume_limited(now);
            let mut due = arrivals;
            while due > 0.0 {
                if self.rng.random::<f64>() < due {
                    self.send_request(now);
                }
                due -= 1.0;
            }
            now += STEP;
        }
        let starts = self.receivers.into_iter().map(|receiver| receiver.starts);
        (self.result, starts.collect())
    }

    /// Starts the requests that limits allow by now.
    fn resume_limited(&mut self, now: Duration) {
        for receiver in 0..RECEIVERS {
            let granted = self.receivers[receiver].queue.resume_limited(now);
            self.begin_granted(now, receiver, granted);
        }
    }

    fn begin_granted(&mut self, now: Duration, receiver: usize, granted: Vec<QueueKey>) {
        for key in granted {
            let (request, _) = self.receivers[receiver]
                .waiting
                .remove(&key)
                .expect("the request was waiting");
            self.begin(now, request);
        }
    }

    fn end_runs(&mut self, now: Duration) {
        for receiver in 0..RECEIVERS {
            let running = std::mem::take(&mut self.receivers[receiver].running);
            let (ended, running): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|run| run.ends_at <= now);
            self.receivers[receiver].running = running;
            for run in ended {
                let in_time = now <= run.request.target_at;
                self.result.in_time += u32::from(in_time);
                self.result.late += u32::from(!in_time);
                let granted = self.finish(now, receiver, run);
                self.observe(now, run.request);
                let view = &mut self.senders[run.request.sender];
                view.record_try_outcome(
                    now,
                    run.request.key,
                    TryOutcome::Answered { failed: false },
                );
                view.record_request_ended(run.request.key);
                self.begin_granted(now, receiver, granted);
            }
            self.expire(now, receiver);
        }
    }

    /// Ends a run like the inbound proxy, which reads the load in the response first.
    fn finish(&mut self, now: Duration, receiver: usize, run: Run) -> Vec<QueueKey> {
        let held = &mut self.receivers[receiver];
        let running = held.queue.running();
        let speed = held.speed.as_mut();
        let header = speed.and_then(|speed| speed.header(now, running, SLOTS));
        let load = header.and_then(|text| text.parse().ok());
        if let Some(load) = &load {
            held.queue
                .record_server_load(now, load, run.running_at_start);
        }
        let granted = held.queue.finish_run(
            now,
            FinishedRun {
                route_hash: ROUTE_HASH,
                took: Some(now.saturating_sub(run.began)),
                pace: load.and_then(|load| load.pace()),
                prediction: run.prediction,
            },
        );
        let displaced = held.queue.take_displaced();
        let displaced = displaced.iter().filter_map(|one| {
            let (request, _) = held.waiting.remove(&one.key)?;
            Some((request, one.retry_after))
        });
        for (request, retry_after) in displaced.collect::<Vec<_>>() {
            self.resend(now, request, retry_after);
        }
        granted
    }

    /// Sends a request elsewhere that was refused after it had waited.
    fn resend(&mut self, now: Duration, request: Request, retry_after: Duration) {
        self.result.refusals += 1;
        let view = &mut self.senders[request.sender];
        view.record_try_outcome(now, request.key, TryOutcome::Refused { retry_after });
        view.record_request_ended(request.key);
        self.observe(now, request);
        let tried = vec![request.key];
        self.send_tries(
            now,
            (request.sender, request.target_at),
            tried,
            request.tries_left,
        );
    }

    fn expire(&mut self, now: Duration, receiver: usize) {
        let is_uneven = self.receivers[receiver].speed.is_some();
        let mut expired = Vec::new();
        let receiver = &mut self.receivers[receiver];
        let late: Vec<QueueKey> = receiver
            .waiting
            .iter()
            .filter(|(_, (_, latest))| *latest < now)
            .map(|(&key, _)| key)
            .collect();
        for key in late {
            receiver.queue.expire(key);
            let (request, _) = receiver
                .waiting
                .remove(&key)
                .expect("the request was waiting");
            if is_uneven {
                expired.push(request);
                continue;
            }
            self.senders[request.sender].record_request_ended(request.key);
            self.result.refused += 1;
        }
        for request in expired {
            self.resend(now, request, STEP);
        }
    }

    fn begin(&mut self, now: Duration, request: Request) {
        let remote = request.sender % self.data_centres != request.receiver % self.data_centres;
        self.result.remote_runs += u32::from(remote);
        let spread = 0.5 + self.rng.random::<f64>();
        let receiver = &mut self.receivers[request.receiver];
        receiver.starts.push(now);
        let ends_at = receiver.speed.as_ref().map_or_else(
            || now + receiver.work.mul_f64(spread),
            |speed| speed.end_of(now, spread),
        );
        receiver.running.push(Run {
            request,
            running_at_start: receiver.queue.running(),
            prediction: receiver.queue.predict_run(now, ROUTE_HASH),
            began: now,
            ends_at,
        });
    }

    fn observe(&mut self, now: Duration, request: Request) {
        let report = self.receivers[request.receiver].report(now, self.tells_limits);
        self.senders[request.sender].record_load(now, request.key, ROUTE_HASH, report);
        self.last_reports[request.sender].insert(request.receiver, report);
    }

    /// Sends a request of a random sender like a node: first a probe if a slot may be free,
    /// then a try that may wait in the queue.
    fn send_request(&mut self, now: Duration) {
        self.result.offered += 1;
        let sender = self.draw_sender();
        self.send_tries(now, (sender, now + TARGET), Vec::new(), TRIES);
    }

    fn send_tries(
        &mut self,
        now: Duration,
        (sender, target_at): (usize, Duration),
        mut tried: Vec<MemberKey>,
        mut tries_left: usize,
    ) {
        let mut probed = Vec::new();
        while tries_left > 0 {
            tries_left -= 1;
            let refuses_at_once = self.senders[sender].limit_wait(now, &query(&tried, &probed));
            if refuses_at_once.is_some() {
                break;
            }
            let may_wait = self.picker == Picker::BestKnown
                || probed.len() == PROBES
                || !self.senders[sender].may_probe(&query(&tried, &probed));
            let Some(key) = self.pick(now, sender, &tried, &probed, may_wait) else {
                break;
            };
            let address = self.senders[sender]
                .get(key)
                .expect("the member is known")
                .record
                .peer_addr;
            let request = Request {
                sender,
                receiver: (0..RECEIVERS)
                    .find(|&receiver| peer_addr(receiver) == address)
                    .expect("a receiver has this address"),
                key,
                target_at,
                tries_left,
            };
            self.result.attempts += 1;
            if self.receivers[request.receiver].without_backend {
                self.senders[sender].record_try_outcome(now, key, self.no_backend_outcome);
                tried.push(key);
                continue;
            }
            self.senders[sender].record_request_sent(key);
            match self.offer(now, request, may_wait) {
                AdmissionDecision::Run => return self.begin(now, request),
                AdmissionDecision::Wait { key, latest } => {
                    let waiting = &mut self.receivers[request.receiver].waiting;
                    waiting.insert(key, (request, latest));
                    return;
                }
                AdmissionDecision::Busy => {
                    self.result.refusals += 1;
                    probed.push(key);
                }
                AdmissionDecision::Refuse { retry_after } => {
                    self.result.refusals += 1;
                    let queue = &self.receivers[request.receiver].queue;
                    let outcome = if self.tells_limits && queue.is_limit_binding(now) {
                        TryOutcome::LimitRefused { retry_after }
                    } else {
                        TryOutcome::Refused { retry_after }
                    };
                    self.senders[sender].record_try_outcome(now, key, outcome);
                    tried.push(key);
                }
            }
            self.senders[sender].record_request_ended(key);
            self.observe(now, request);
        }
        self.result.refused += 1;
    }

    fn offer(&mut self, now: Duration, request: Request, may_wait: bool) -> AdmissionDecision {
        let offer = AdmissionRequest {
            rank: 1,
            route_hash: ROUTE_HASH,
            account: None,
            fingerprint: None,
            may_wait,
            is_only_member: false,
            is_nested: false,
            target_deadline: request.target_at,
            ends_at: request.target_at + TARGET,
        };
        self.receivers[request.receiver].queue.admit(now, offer)
    }

    fn pick(
        &mut self,
        now: Duration,
        sender: usize,
        tried: &[MemberKey],
        probed: &[MemberKey],
        may_wait: bool,
    ) -> Option<MemberKey> {
        let query = query(tried, probed);
        match (self.picker, may_wait) {
            (Picker::BestKnown, _) => self.best_known(sender, tried),
            (Picker::Node, false) => self.senders[sender].pick(now, &query, &mut self.rng),
            (Picker::Node, true) => self.senders[sender].pick_queue(now, &query, &mut self.rng),
        }
    }

    /// Picks the receiver with the shortest response time by the sender's last reports.
    fn best_known(&mut self, sender: usize, tried: &[MemberKey]) -> Option<MemberKey> {
        let mut best: Option<(f64, MemberKey)> = None;
        for receiver in 0..RECEIVERS {
            let key = self.senders[sender].key_of(peer_addr(receiver))?;
            let report = self.last_reports[sender].get(&receiver);
            let wait = report.map_or(0.0, |report| {
                let held = f64::from(report.running + report.waiting) + 1.0;
                let excess = (held - f64::from(SLOTS)).max(0.0) / f64::from(SLOTS);
                report.mean_run_time.as_secs_f64() * (1.0 + excess)
            });
            let cost = wait * (1.0 + 0.15 * noise(&mut self.rng));
            if !tried.contains(&key) && best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }
}

fn query<'a>(tried: &'a [MemberKey], probed: &'a [MemberKey]) -> PickQuery<'a> {
    PickQuery {
        service: "orders",
        route_hash: ROUTE_HASH,
        target_latency: TARGET,
        tried,
        probed,
        response_bytes: 2_000,
        versions: VersionFilter::ANY,
    }
}

fn noise(rng: &mut impl Rng) -> f64 {
    rng.random::<f64>() * 2.0 - 1.0
}
