//! Comparison of two versions of a service.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    net::SocketAddr,
};

use super::RunCounts;

/// Run time from which a run counts as slow, as a multiple of the current version's mean on the
/// same route.
const SLOW_FACTOR: f64 = 3.0;
/// Smallest assumed share of bad runs of the current version.
const BAD_SHARE_MIN: f64 = 0.02;
/// Largest assumed share of bad runs of the target version.
const BAD_SHARE_MAX: f64 = 0.95;
/// Difference between the shares of bad runs by which a bad version is assumed to differ.
const BAD_SHARE_DIFFERENCE: f64 = 0.2;
/// Runs that the prior weighs, one of them bad.
const PRIOR_RUNS: f64 = 20.0;
/// Log-likelihood ratio from which on a backend server counts as failing.
const FAILING_SCORE: f64 = 6.0;
/// Upper bound of the score, so that a server whose fault has ended is cleared soon.
const SCORE_MAX: f64 = 12.0;
/// Recent runs from which on a server that isn't failing counts as working.
const JUDGED_RUNS: f64 = 15.0;
/// Factor on the weight of a server's earlier runs in each round.
const RECENT_DECAY: f64 = 0.85;
/// Share of failing servers from which on the cause is the version and not single servers, of
/// those that have no fault which servers of the current version have as well. A bad version
/// affects all of them.
const BAD_FAILING_SHARE: f64 = 0.7;
/// Largest probability that as many servers of a good version fail by chance, for a verdict.
const CHANCE_MAX: f64 = 0.001;
/// The same once the target version has [`MANY_BAD_RUNS`]. A service with few servers can't make
/// chance as unlikely as one with many.
const CHANCE_MAX_MANY_BAD: f64 = 0.07;
/// Bad runs of the target version that are many. A version that is bad must be rolled back soon after
/// its fiftieth.
const MANY_BAD_RUNS: u64 = 40;
/// Probability that the fault of a single server, which begins at any time, begins with the server's
/// first runs. That of a version does as a rule.
const FROM_START_CHANCE: f64 = 0.25;
/// Runs before the first bad ones up to which a server has failed from its start.
const FROM_START_RUNS: u64 = 12;
/// Servers that the prior of the current version's failing share weighs, one of them failing.
const PRIOR_SERVERS: f64 = 6.0;
/// Runs on a route from which on a server counts as working there, if others fail on that route
/// alone.
const ROUTE_JUDGED_RUNS: u64 = 20;
/// Share of failing servers from which on the version may be bad, like [`BAD_FAILING_SHARE`].
const SUSPICIOUS_FAILING_SHARE: f64 = 0.35;
/// Share of failing servers of the current version from which on the target version isn't condemned.
/// While its own servers on trial fail as well, it doesn't get more requests either.
const USUAL_FAILING_MAX: f64 = 0.6;
/// Number of failing servers that condemn a version, if there are as many. Fewer may have a fault of
/// their own at the same time.
const FAILING_SERVERS_MIN: usize = 4;
/// The same in a small service once the target version has [`MANY_BAD_RUNS`].
const SMALL_FAILING_MIN: usize = 2;
/// Factor on the weight of the current version's earlier runs in each round.
const BASELINE_DECAY: f64 = 0.85;
/// Weight of the current version's runs below which they don't decay.
const BASELINE_RUNS_MIN: f64 = 50.0;

/// Version that a backend server runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ComparisonSide {
    /// The version in force.
    Current,
    /// The version that is rolled out.
    Target,
}

/// Result of a comparison so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ComparisonVerdict {
    /// Whether the target version is worse than the current one.
    pub is_bad: bool,
    /// Whether it is unlikely that so many servers fail by chance.
    pub is_certain: bool,
    /// Whether so many of the servers on trial fail that the version may be bad.
    pub is_suspicious: bool,
    /// Number of runs of the target version.
    pub target_runs: u64,
    /// Number of these that failed or were slow.
    pub target_bad: u64,
    /// Number of failing servers of the target version.
    pub failing: usize,
    /// Number of servers of the target version that are failing or known to work.
    pub judged: usize,
}

/// Recent runs of the current version on one route.
#[derive(Debug, Default)]
struct RouteBaseline {
    runs: f64,
    failures: f64,
    times: BTreeMap<u64, f64>,
}

impl RouteBaseline {
    fn add(&mut self, counts: &RunCounts) {
        self.runs += counts.runs as f64;
        self.failures += counts.failures as f64;
        for (&millis, &count) in &counts.times {
            *self.times.entry(millis).or_default() += count as f64;
        }
    }

    fn decay(&mut self) {
        if self.runs < BASELINE_RUNS_MIN {
            return;
        }
        self.runs *= BASELINE_DECAY;
        self.failures *= BASELINE_DECAY;
        for count in self.times.values_mut() {
            *count *= BASELINE_DECAY;
        }
    }

    /// Returns the run time in milliseconds from which a run is slow; none without runs.
    fn slow_ms(&self) -> Option<f64> {
        let (sum, count) = self.times.iter().fold((0.0, 0.0), |(sum, count), entry| {
            (sum + *entry.0 as f64 * entry.1, count + entry.1)
        });
        (count > 0.0).then(|| sum / count * SLOW_FACTOR)
    }

    /// Returns the share of bad runs.
    fn bad_share(&self) -> f64 {
        let slow_ms = self.slow_ms().unwrap_or(f64::INFINITY);
        let slow = self
            .times
            .iter()
            .filter(|&(&millis, _)| millis as f64 > slow_ms);
        let bad = self.failures + slow.map(|(_, count)| count).sum::<f64>();
        ((bad + 1.0) / (self.runs + PRIOR_RUNS)).clamp(BAD_SHARE_MIN, BAD_SHARE_MAX)
    }

    /// Returns the number of slow runs in `counts`.
    fn slow_runs(&self, counts: &RunCounts) -> u64 {
        let slow_ms = self.slow_ms();
        slow_ms.map_or(0, |slow_ms| counts.slower_than(slow_ms))
    }

    /// Returns the log-likelihood ratio of `bad` bad runs of `runs`: that of a server that is
    /// worse than the current version to that of one that isn't.
    fn log_likelihood_ratio(&self, runs: u64, bad: u64) -> f64 {
        let usual = self.bad_share();
        let worse = (usual + BAD_SHARE_DIFFERENCE).min(BAD_SHARE_MAX.max(usual));
        let good = runs.saturating_sub(bad) as f64;
        bad as f64 * (worse / usual).ln() + good * ((1.0 - worse) / (1.0 - usual)).ln()
    }
}

/// Evidence about one route at one backend server, or about all of its routes.
#[derive(Debug, Clone, Copy, Default)]
struct RunScore {
    runs: u64,
    failures: u64,
    slow: u64,
    /// Cumulative sum of log-likelihood ratios.
    score: f64,
    /// Runs before the sum last began to grow.
    runs_before: u64,
}

impl RunScore {
    fn add(&mut self, counts: &RunCounts, slow: u64, ratio: f64) {
        self.runs += counts.runs;
        self.failures += counts.failures;
        self.slow += slow;
        self.score = (self.score + ratio).clamp(0.0, SCORE_MAX);
        if self.score == 0.0 {
            self.runs_before = self.runs;
        }
    }

    /// Whether the server has failed since its start, by the estimate of the change point that goes
    /// with the cumulative sum.
    const fn fails_from_start(&self) -> bool {
        self.is_failing() && self.runs_before <= FROM_START_RUNS
    }

    const fn is_failing(&self) -> bool {
        self.score >= FAILING_SCORE
    }
}

impl fmt::Display for RunScore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            runs,
            failures,
            slow,
            score,
            ..
        } = self;
        write!(f, "{failures}+{slow}/{runs} {score:.1}")
    }
}

/// Evidence against one backend server: cumulative sums, by which a change is found soon after
/// it happened.
#[derive(Debug, Default)]
struct ServerScore {
    recent_runs: f64,
    total: RunScore,
    routes: HashMap<u64, RunScore>,
}

impl ServerScore {
    fn add(&mut self, route_hash: u64, counts: &RunCounts, slow: u64, ratio: f64) {
        self.recent_runs += counts.runs as f64;
        self.total.add(counts, slow, ratio);
        let route = self.routes.entry(route_hash).or_default();
        route.add(counts, slow, ratio);
    }

    fn is_failing(&self) -> bool {
        self.total.is_failing() || self.routes.values().any(RunScore::is_failing)
    }

    fn fails_from_start(&self) -> bool {
        let mut scores = self.routes.values().chain([&self.total]);
        scores.any(RunScore::fails_from_start)
    }

    /// Returns the only route on which the server fails; none if it fails on several, or not on a
    /// single one.
    fn failing_route(&self) -> Option<u64> {
        let failing = self.routes.iter().filter(|(_, score)| score.is_failing());
        let mut routes = failing.map(|(&route_hash, _)| route_hash);
        let first = routes.next()?;
        routes.next().is_none().then_some(first)
    }

    /// Whether the server has run enough to be called failing or working. If others fail on the route
    /// `failing_route` alone, only runs on that route tell.
    fn is_judged(&self, failing_route: Option<u64>) -> bool {
        if self.is_failing() {
            return true;
        }
        let has_sampled = |route_hash| {
            let route = self.routes.get(&route_hash);
            route.is_some_and(|route| route.runs >= ROUTE_JUDGED_RUNS)
        };
        self.recent_runs >= JUDGED_RUNS && failing_route.is_none_or(has_sampled)
    }
}

/// Compares the target version of a rollout with the current one.
///
/// A version may fail a share of its requests, be several times slower, only under load, on one
/// route only, or only some time after its start. Meanwhile single backend servers of either
/// version fail or turn slow for other reasons. So each server is compared with the current
/// version in the same seconds, over all routes and on each: a cumulative sum of log-likelihood
/// ratios (Page 1954) grows with bad runs and falls with good ones. The version is bad if many
/// of its servers fail, and clearly more than of the current version.
#[derive(Debug, Default)]
pub struct VersionComparison {
    baselines: HashMap<u64, RouteBaseline>,
    current: HashMap<SocketAddr, ServerScore>,
    target: HashMap<SocketAddr, ServerScore>,
    target_runs: u64,
    target_bad: u64,
}

impl VersionComparison {
    /// Starts a round of observations; those of earlier rounds lose weight.
    pub fn start_round(&mut self) {
        self.baselines.values_mut().for_each(RouteBaseline::decay);
        for server in self.current.values_mut().chain(self.target.values_mut()) {
            server.recent_runs *= RECENT_DECAY;
        }
    }

    /// Adds the runs of one route at one server since the last round.
    pub fn observe(
        &mut self,
        side: ComparisonSide,
        server: SocketAddr,
        route_hash: u64,
        counts: &RunCounts,
    ) {
        let baseline = self.baselines.entry(route_hash).or_default();
        let slow = baseline.slow_runs(counts);
        let bad = counts.failures + slow;
        let ratio = baseline.log_likelihood_ratio(counts.runs, bad);
        let servers = match side {
            ComparisonSide::Current => {
                // A faulty server would hide the same fault of the target version.
                let known = self.current.get(&server);
                if !known.is_some_and(ServerScore::is_failing) {
                    baseline.add(counts);
                }
                &mut self.current
            }
            ComparisonSide::Target => {
                self.target_runs += counts.runs;
                self.target_bad += bad;
                &mut self.target
            }
        };
        let score = servers.entry(server).or_default();
        score.add(route_hash, counts, slow, ratio);
    }

    /// Returns the route on which most of the target version's failing servers fail, and on no other.
    fn failing_route(&self) -> Option<u64> {
        let failing = self.target.values().filter(|server| server.is_failing());
        let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
        let mut total = 0;
        for server in failing {
            total += 1;
            if let Some(route_hash) = server.failing_route() {
                *counts.entry(route_hash).or_default() += 1;
            }
        }
        let most = counts.into_iter().max_by_key(|&(_, count)| count);
        most.filter(|&(_, count)| count * 2 >= total)
            .map(|(route_hash, _)| route_hash)
    }

    /// Returns the result of the comparison so far.
    ///
    /// `servers` is the number of known servers of the target version, and `is_on_trial` tells
    /// those that get most of its requests now.
    pub fn verdict(
        &self,
        servers: usize,
        is_on_trial: impl Fn(&SocketAddr) -> bool,
    ) -> ComparisonVerdict {
        let target = ServerCount::of(self.target.values(), self.failing_route());
        let current = ServerCount::of(self.current.values(), None);
        let on_trial = self.target.iter().filter(|(server, _)| is_on_trial(server));
        let on_trial = ServerCount::of(on_trial.map(|(_, score)| score), None);
        // The first servers of a large service's new version are few as well.
        let is_small = servers.max(self.current.len()) <= FAILING_SERVERS_MIN;
        let has_many_bad = is_small && self.target_bad >= MANY_BAD_RUNS;
        let (needed, chance_max) = if has_many_bad {
            (servers.clamp(1, SMALL_FAILING_MIN), CHANCE_MAX_MANY_BAD)
        } else {
            (servers.clamp(1, FAILING_SERVERS_MIN), CHANCE_MAX)
        };
        let usual_share = current.failing_share();
        ComparisonVerdict {
            is_bad: usual_share < USUAL_FAILING_MAX
                && target.failing >= needed
                && target.exceeds(usual_share, BAD_FAILING_SHARE),
            is_certain: target.chance(current, is_small) <= chance_max,
            is_suspicious: on_trial.exceeds(usual_share, SUSPICIOUS_FAILING_SHARE),
            target_runs: self.target_runs,
            target_bad: self.target_bad,
            failing: target.failing,
            judged: target.judged,
        }
    }
}

impl fmt::Display for VersionComparison {
    /// Writes the failing servers of the target version with their failed and slow runs of all,
    /// and the current version's share of bad runs by route.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (server, score) in self.target.iter().filter(|(_, score)| score.is_failing()) {
            write!(f, "{server} {}", score.total)?;
            let routes = score.routes.iter().filter(|(_, route)| route.is_failing());
            for (route_hash, route) in routes {
                write!(f, " {route_hash:016x} {route}")?;
            }
            f.write_str("; ")?;
        }
        f.write_str("usual")?;
        for (route_hash, baseline) in &self.baselines {
            write!(f, " {route_hash:016x} {:.3}", baseline.bad_share())?;
        }
        Ok(())
    }
}

/// Numbers of backend servers by their scores.
#[derive(Debug, Clone, Copy, Default)]
struct ServerCount {
    failing: usize,
    /// Those of the failing servers that have failed since their start.
    from_start: usize,
    judged: usize,
}

impl ServerCount {
    fn of<'a>(servers: impl Iterator<Item = &'a ServerScore>, failing_route: Option<u64>) -> Self {
        servers.fold(Self::default(), |count, server| Self {
            failing: count.failing + usize::from(server.is_failing()),
            from_start: count.from_start + usize::from(server.fails_from_start()),
            judged: count.judged + usize::from(server.is_judged(failing_route)),
        })
    }

    /// Returns the share of failing servers among those that are judged.
    fn failing_share(self) -> f64 {
        self.failing as f64 / self.judged.max(1) as f64
    }

    /// Returns the probability that at least as many of these servers fail by chance, if each fails as
    /// often as those of the current version, and as many of them from their start.
    fn chance(self, current: Self, is_small: bool) -> f64 {
        let usual = (current.failing as f64 + 1.0) / (current.judged as f64 + PRIOR_SERVERS);
        let odds = usual / (1.0 - usual);
        let mut exactly = (1.0 - usual).powf(self.judged as f64);
        let mut fewer = 0.0;
        for failing in 0..self.failing {
            fewer += exactly;
            exactly *= odds * (self.judged - failing) as f64 / (failing + 1) as f64;
        }
        let from_start = if is_small { self.from_start } else { 0 };
        (1.0 - fewer) * FROM_START_CHANCE.powf(from_start as f64)
    }

    /// Whether a share of the servers fails, beyond the `usual` share of the current version.
    fn exceeds(self, usual: f64, share: f64) -> bool {
        let needed = usual + (1.0 - usual) * share;
        self.failing > 0 && self.failing_share() >= needed
    }
}
