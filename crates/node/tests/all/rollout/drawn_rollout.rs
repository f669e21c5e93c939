//! Simulation of one rollout: a fleet's requests, faults, and the deciding node.

use std::{net::SocketAddr, time::Duration};

use geranium_node::rollout::{
    ComparisonSide, OrderState, RolloutInputs, RolloutPhase, RolloutRecord, RolloutStage,
    RunCounts, StageStep, VersionComparison, first_target_count,
};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

use super::record;
use crate::support::peer_addr;

/// Time between decisions.
pub(super) const ROUND: Duration = Duration::from_millis(400);
/// Rounds until a change reaches the whole fleet.
const CHANGE_ROUNDS: u32 = 2;
/// Backend servers of the current version whose runs are compared.
const BASELINE_SERVERS: usize = 12;
/// Slots of each backend server.
const SLOTS: u32 = 12;
/// Shares of the requests by route.
const ROUTE_SHARES: [f64; 3] = [0.7, 0.25, 0.05];
/// Mean of the run times, in milliseconds.
const MEAN_MS: f64 = 200.0;
/// Spread of the logarithm of run times.
const SPREAD: f64 = 0.8;
/// Time after which a request gets no response, in milliseconds.
const TIMEOUT_MS: f64 = 1_500.0;
/// Share of the runs that fail at a backend server without a fault.
const USUAL_FAILURES: f64 = 0.01;
/// Share of its usual load from which on a backend server counts as busy.
const BUSY_SHARE: f64 = 0.85;
/// Time that the order gives the rollout.
pub(super) const DURATION: Duration = Duration::from_secs(16);
/// When the first backend server of the target version is ready.
const READY_AT: Duration = Duration::from_millis(1_600);

/// Service whose rollouts are drawn.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct DrawnService {
    /// Backend servers of each version.
    pub servers: usize,
    /// Requests per second of the whole service.
    pub requests_per_s: f64,
}

/// What is wrong with the target version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum VersionFault {
    None,
    /// This share of the requests fails.
    Errors(f64),
    /// This share of the requests takes eight times as long.
    Slow(f64),
    /// This share fails at backend servers that are as busy as usual.
    UnderLoad(f64),
    /// This share fails on the route with this number.
    OneRoute(f64, usize),
    /// This share fails from this time after the start.
    Late(f64, Duration),
}

/// Fault of single backend servers of both versions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum ServerFault {
    None,
    /// A share of the backend servers takes five times as long.
    Slow(f64),
    /// A share of the backend servers fails 45 of 100 requests.
    Grey(f64),
}

/// What became of a rollout.
#[derive(Debug, Clone, Copy)]
pub(super) struct DrawnOutcome {
    /// Last phase; `None` if the rollout hadn't ended after twice its duration.
    pub phase: Option<RolloutPhase>,
    /// When it ended, from the order on.
    pub ended_at: Duration,
    /// Requests that reached the target version within the duration, and all that were sent.
    pub exposed: f64,
    pub requests: f64,
    /// Whether a backend server of the target version had no fault of its own.
    pub has_sound_server: bool,
    /// Time from the fiftieth bad response of the target version to its last request.
    pub after_fiftieth: Duration,
}

struct DrawnServer {
    addr: SocketAddr,
    /// Whether the server has the fault of the draw.
    is_faulty: bool,
    counts: [RunCounts; ROUTE_SHARES.len()],
}

fn servers(count: usize, first: u8, faulty_share: f64, rng: &mut StdRng) -> Vec<DrawnServer> {
    let servers = (0..count).map(|number| DrawnServer {
        addr: peer_addr(first + number as u8),
        is_faulty: rng.random_bool(faulty_share),
        counts: Default::default(),
    });
    servers.collect()
}

/// Returns a run time in milliseconds from a log-normal distribution.
fn run_ms(rng: &mut StdRng) -> f64 {
    let (first, second): (f64, f64) = (rng.random_range(f64::EPSILON..1.0), rng.random());
    let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();
    MEAN_MS * (SPREAD * normal - SPREAD * SPREAD / 2.0).exp()
}

/// Returns a whole number with this mean.
fn draw_count(mean: f64, rng: &mut impl Rng) -> u64 {
    let whole = mean.floor();
    whole as u64 + u64::from(rng.random::<f64>() < mean - whole)
}

/// Draws how one run at a server ends. Returns whether it failed, and its run time.
fn draw_run(
    play: &DrawnPlay<'_>,
    server: &DrawnServer,
    is_target: bool,
    busy: bool,
    route: usize,
    rng: &mut StdRng,
) -> (bool, f64) {
    let now = play.now;
    let mut millis = run_ms(rng);
    let mut failure_share = USUAL_FAILURES;
    let fault_ends = play.fault_from + Duration::from_secs(6);
    if server.is_faulty && (play.fault_from..fault_ends).contains(&now) {
        match play.server_fault {
            ServerFault::Slow(_) => millis *= 5.0,
            ServerFault::Grey(_) => failure_share = 0.45,
            ServerFault::None => {}
        }
    }
    if is_target {
        match play.fault {
            VersionFault::Errors(share) => failure_share = share,
            VersionFault::UnderLoad(share) if busy => failure_share = share,
            VersionFault::OneRoute(share, bad_route) if bad_route == route => {
                failure_share = share;
            }
            VersionFault::Late(share, from) if now >= READY_AT + from => failure_share = share,
            VersionFault::Slow(share) if rng.random_bool(share) => millis *= 8.0,
            _ => {}
        }
    }
    (
        rng.random_bool(failure_share) || millis > TIMEOUT_MS,
        millis,
    )
}

/// A rollout that is being played.
struct DrawnPlay<'a> {
    service: DrawnService,
    fault: VersionFault,
    server_fault: ServerFault,
    fault_from: Duration,
    now: Duration,
    current: Vec<DrawnServer>,
    target: Vec<DrawnServer>,
    comparison: VersionComparison,
    stage: RolloutStage,
    /// Record that the deciding node has written.
    written: RolloutRecord,
    /// Record that the fleet knows.
    in_force: RolloutRecord,
    /// Rounds until the fleet knows the written record.
    rounds_to_go: u32,
    bad: u64,
    fiftieth_at: Option<Duration>,
    outcome: DrawnOutcome,
    rng: &'a mut StdRng,
}

impl DrawnPlay<'_> {
    /// Plays the requests of one round.
    fn run_requests(&mut self) {
        let requests = self.service.requests_per_s * ROUND.as_secs_f64();
        let share = if self.now < READY_AT {
            0.0
        } else {
            self.in_force.share
        };
        let bad_before = self.bad;
        self.run_side(ComparisonSide::Current, requests * (1.0 - share));
        self.run_side(ComparisonSide::Target, requests * share);
        if self.now <= DURATION {
            self.outcome.requests += requests;
            self.outcome.exposed += requests * share;
        }
        if self.bad >= 50 && bad_before < 50 {
            self.fiftieth_at = Some(self.now);
        }
        if let Some(at) = self.fiftieth_at.filter(|_| share > 0.0) {
            self.outcome.after_fiftieth = self.now.saturating_sub(at);
        }
    }

    fn run_side(&mut self, side: ComparisonSide, requests: f64) {
        let is_target = side == ComparisonSide::Target;
        let mut servers = std::mem::take(if is_target {
            &mut self.target
        } else {
            &mut self.current
        });
        let total = self.service.servers;
        let count = first_target_count(total, self.in_force.share).min(total);
        for (number, server) in servers.iter_mut().enumerate() {
            let on_trial = position(number, total, &self.in_force) < count;
            let part = match (is_target, on_trial) {
                (false, _) => 1.0 / total as f64,
                (true, true) => 0.8 / count as f64 + 0.2 / total as f64,
                (true, false) => 0.2 / total as f64,
            };
            let usual = self.service.requests_per_s * ROUND.as_secs_f64() / total as f64;
            let busy = requests * part >= usual * BUSY_SHARE;
            for (route, route_share) in ROUTE_SHARES.into_iter().enumerate() {
                for _ in 0..draw_count(requests * part * route_share, self.rng) {
                    let mut rng = StdRng::from_rng(&mut *self.rng);
                    let (failed, millis) = draw_run(self, server, is_target, busy, route, &mut rng);
                    let counts = &mut server.counts[route];
                    counts.runs += 1;
                    counts.failures += u64::from(failed);
                    if !failed {
                        let bucket = (millis / 10.0).ceil() as u64 * 10;
                        *counts.times.entry(bucket).or_default() += 1;
                    }
                    let is_bad = failed || millis > MEAN_MS * 3.0;
                    let is_of_bad_version = is_target && self.fault != VersionFault::None;
                    self.bad += u64::from(is_bad && is_of_bad_version);
                }
            }
        }
        *(if is_target {
            &mut self.target
        } else {
            &mut self.current
        }) = servers;
    }

    /// Lets the deciding node compare the versions and decide.
    fn decide(&mut self) {
        self.comparison.start_round();
        let compared = self.current.iter_mut().take(BASELINE_SERVERS);
        let compared = compared.map(|server| (ComparisonSide::Current, server));
        let targets = self.target.iter_mut();
        let compared = compared.chain(targets.map(|server| (ComparisonSide::Target, server)));
        for (side, server) in compared {
            for (route, counts) in server.counts.iter_mut().enumerate() {
                let counts = std::mem::take(counts);
                self.comparison
                    .observe(side, server.addr, route as u64, &counts);
            }
        }
        let StageStep::Change(change) = self.stage.next(self.now, &self.inputs()) else {
            return;
        };
        self.written.phase = change.phase;
        self.written.share = change.share;
        self.written.first = change.first;
        self.rounds_to_go = CHANGE_ROUNDS;
        if let Some(next) = self.stage.enter(self.now, &self.written) {
            self.stage = next;
        } else {
            self.outcome.phase = Some(change.phase);
            self.outcome.ended_at = self.now;
        }
    }

    fn inputs(&self) -> RolloutInputs {
        let total = self.service.servers;
        let count = first_target_count(total, self.written.share).min(total);
        let on_trial = |addr: &SocketAddr| {
            let number = self.target.iter().position(|server| server.addr == *addr);
            number.is_some_and(|number| position(number, total, &self.written) < count)
        };
        let ready = if self.now >= READY_AT { total } else { 0 };
        RolloutInputs {
            target_slots: ready as u32 * SLOTS,
            warm_target_slots: ready as u32 * SLOTS,
            target_servers: ready,
            current_slots: total as u32 * SLOTS,
            verdict: self.comparison.verdict(ready, on_trial),
            is_drained: self.in_force.phase == RolloutPhase::Drain,
            order: OrderState::Present,
        }
    }
}

/// Returns the position of a server of the target version from the first one on trial.
fn position(number: usize, servers: usize, record: &RolloutRecord) -> usize {
    (number + servers - record.first as usize % servers) % servers
}

/// Plays one rollout to its end, or for twice its duration.
pub(super) fn play(
    service: DrawnService,
    fault: VersionFault,
    server_fault: ServerFault,
    fault_from: Duration,
    rng: &mut StdRng,
) -> DrawnOutcome {
    let faulty_share = match server_fault {
        ServerFault::None => 0.0,
        ServerFault::Slow(share) | ServerFault::Grey(share) => share,
    };
    let mut play = DrawnPlay {
        service,
        fault,
        server_fault,
        fault_from,
        now: Duration::ZERO,
        current: servers(service.servers, 1, faulty_share, rng),
        target: servers(service.servers, 100, faulty_share, rng),
        comparison: VersionComparison::default(),
        stage: RolloutStage::new(Duration::ZERO, DURATION),
        written: record(1, RolloutPhase::Ordered),
        in_force: record(1, RolloutPhase::Ordered),
        rounds_to_go: 0,
        bad: 0,
        fiftieth_at: None,
        outcome: DrawnOutcome {
            phase: None,
            ended_at: DURATION * 2,
            exposed: 0.0,
            requests: 0.0,
            has_sound_server: false,
            after_fiftieth: Duration::ZERO,
        },
        rng,
    };
    play.outcome.has_sound_server = play.target.iter().any(|server| !server.is_faulty);
    while play.now < DURATION * 2 {
        play.now += ROUND;
        if play.rounds_to_go > 0 {
            play.rounds_to_go -= 1;
        } else {
            play.in_force = play.written.clone();
        }
        play.run_requests();
        if play.outcome.phase.is_none() {
            play.decide();
        } else if play.in_force.phase.is_terminal() {
            break;
        }
    }
    play.outcome
}
