//! Stages of a rollout.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

use super::{
    ComparisonVerdict, OrderState, RolloutPhase, RolloutRecord, traffic_split::first_target_count,
};

/// Share of the requests for the target version while it is on trial.
const CANARY_SHARE: f64 = 0.08;
/// Shares of the requests in the ramp, one after the other.
const RAMP_SHARES: [f64; 2] = [0.25, 0.5];
/// End of the trial, as a share of the rollout's duration. Faults that show only some time after
/// the start of a version have to show by then.
const CANARY_END: f64 = 0.4;
/// Shortest trial after the target version's first backend server is known, as a share of the
/// rollout's duration.
const CANARY_MIN: f64 = 0.25;
/// Shortest time of a trial at the same backend servers.
const MOVE_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest trial at the same backend servers before the ramp, as a share of the rollout's
/// duration.
const MOVED_MIN: f64 = 0.1;
/// Shortest trial after others have failed, like [`MOVED_MIN`].
const MOVED_AFTER_FAILURES_MIN: f64 = 0.2;
/// Time of each step of the ramp, as a share of the rollout's duration.
const RAMP_STEP: f64 = 0.07;
/// Longest duration from which the times of the stages are taken.
const DURATION_MAX: Duration = Duration::from_secs(120);
/// Runs of the target version before the ramp, unless the trial has lasted for
/// [`CANARY_END_FEW_RUNS`].
const CANARY_RUNS_MIN: u64 = 40;
/// End of a trial with few runs, as a share of the rollout's duration.
const CANARY_END_FEW_RUNS: f64 = 0.6;
/// Slots of the target version before it gets all requests, relative to those of the current one.
const FULL_SLOTS_SHARE: f64 = 0.9;
/// Multiple of the duration after which a rollout whose backend servers are missing is rolled
/// back.
const OVERDUE_FACTOR: f64 = 2.0;

/// What is known about a rollout at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RolloutInputs {
    /// Slots of the target version's ready backend servers.
    pub target_slots: u32,
    /// Those of them that aren't in their slow start.
    pub warm_target_slots: u32,
    /// Number of the target version's ready backend servers.
    pub target_servers: usize,
    /// Slots of the current version's ready backend servers.
    pub current_slots: u32,
    /// Comparison of the two versions.
    pub verdict: ComparisonVerdict,
    /// Whether the backend servers of the earlier version refuse requests and run none.
    pub is_drained: bool,
    /// Whether the order is still in the store.
    pub order: OrderState,
}

/// Change of a rollout that is to be written to the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StageChange {
    /// Next phase.
    pub phase: RolloutPhase,
    /// Share of the requests for the target version in that phase.
    pub share: f64,
    /// Position of the first backend server on trial.
    pub first: u32,
    /// Why the phase is entered.
    pub reason: String,
}

/// Why a rollout stays in its stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum WaitReason {
    /// The deciding node doesn't know whether the order is still in the store.
    OrderUnknown,
    /// No backend server of the target version is ready.
    NoServer,
    /// The backend servers on trial fail, and the trial can't move to others now.
    ServersFail,
    /// The trial, or the step of the ramp, hasn't lasted long enough.
    TooShort,
    /// The target version has run too few requests.
    TooFewRuns,
    /// The target version has too few slots outside its slow start.
    TooFewSlots,
    /// Requests still run at the earlier version, or its nodes didn't respond.
    NotDrained,
}

/// What is due in a rollout.
#[derive(Debug, Clone, PartialEq)]
pub enum StageStep {
    /// The rollout stays in its stage.
    Wait(WaitReason),
    /// The rollout changes.
    Change(StageChange),
}

/// No backend server of the target version is known.
#[derive(Debug, Clone, Copy)]
pub struct Ordered;

/// The target version is on trial.
#[derive(Debug, Clone, Copy)]
pub struct Canary {
    /// When the trial began; none if another node began it.
    since: Option<Duration>,
    /// When the trial began at the present backend servers.
    moved_at: Duration,
    first: u32,
}

/// The target version's share grows.
#[derive(Debug, Clone, Copy)]
pub struct Ramp {
    since: Duration,
    step: usize,
    /// When the step began at the present backend servers.
    moved_at: Duration,
    first: u32,
}

/// What runs at the earlier version ends.
#[derive(Debug, Clone, Copy)]
pub struct Drain;

/// A rollout in one stage. Times are on the clock of the deciding node.
#[derive(Debug, Clone, Copy)]
pub struct Rollout<S> {
    /// When this node began to decide about the rollout.
    taken_at: Duration,
    /// Time since the order at `taken_at`. The order may be older than this node's process.
    elapsed: Duration,
    duration: Duration,
    stage: S,
}

impl<S> Rollout<S> {
    fn enter<T>(self, stage: T) -> Rollout<T> {
        Rollout {
            taken_at: self.taken_at,
            elapsed: self.elapsed,
            duration: self.duration,
            stage,
        }
    }

    /// Returns the time since the order.
    fn elapsed(&self, now: Duration) -> Duration {
        self.elapsed + now.saturating_sub(self.taken_at)
    }

    /// Whether a share of the rollout's duration has passed.
    fn has_passed(&self, now: Duration, share: f64) -> bool {
        self.elapsed(now) >= self.span(share)
    }

    fn span(&self, share: f64) -> Duration {
        self.duration.min(DURATION_MAX).mul_f64(share)
    }

    /// Waits, or rolls back if the rollout has taken far longer than its duration.
    fn wait(&self, now: Duration, reason: WaitReason) -> StageStep {
        if self.elapsed(now) < self.duration.mul_f64(OVERDUE_FACTOR) {
            return StageStep::Wait(reason);
        }
        StageStep::Change(rolled_back(format!("overdue: {reason}")))
    }
}

/// Returns a roll-back for reasons that hold in every stage.
fn roll_back(inputs: &RolloutInputs, needs_certainty: bool) -> Option<StageChange> {
    let verdict = &inputs.verdict;
    if verdict.is_bad && (verdict.is_certain || !needs_certainty) {
        return Some(rolled_back(format!(
            "{} of {} backend servers fail, {} of {} runs were bad",
            verdict.failing, verdict.judged, verdict.target_bad, verdict.target_runs
        )));
    }
    let cancelled = inputs.order == OrderState::Deleted;
    cancelled.then(|| rolled_back("the order was deleted".to_owned()))
}

fn rolled_back(reason: String) -> StageChange {
    StageChange {
        phase: RolloutPhase::RolledBack,
        share: 0.0,
        first: 0,
        reason,
    }
}

fn moved_to(first: u32, phase: RolloutPhase, share: f64) -> StageChange {
    StageChange {
        first,
        ..change(phase, share, "the backend servers on trial fail")
    }
}

fn change(phase: RolloutPhase, share: f64, reason: &str) -> StageChange {
    StageChange {
        phase,
        share,
        first: 0,
        reason: reason.to_owned(),
    }
}

impl Rollout<Ordered> {
    fn next(&self, now: Duration, inputs: &RolloutInputs) -> StageStep {
        if inputs.target_slots == 0 {
            return self.wait(now, WaitReason::NoServer);
        }
        let reason = "a backend server of the version is ready";
        StageStep::Change(change(RolloutPhase::Canary, CANARY_SHARE, reason))
    }

    fn start_canary(self, now: Duration) -> Rollout<Canary> {
        self.enter(Canary {
            since: Some(now),
            moved_at: now,
            first: 0,
        })
    }
}

impl Rollout<Canary> {
    fn next(&self, now: Duration, inputs: &RolloutInputs) -> StageStep {
        if inputs.verdict.is_suspicious || inputs.verdict.is_bad {
            let moved = self.move_trial(now, inputs);
            let wait = || self.wait(now, WaitReason::ServersFail);
            return moved.map_or_else(wait, StageStep::Change);
        }
        let moved_min = if self.stage.first == 0 {
            MOVED_MIN
        } else {
            MOVED_AFTER_FAILURES_MIN
        };
        let is_new = |since| now < since + self.span(CANARY_MIN);
        let lasted = self.has_passed(now, CANARY_END)
            && !self.stage.since.is_some_and(is_new)
            && now >= self.stage.moved_at + self.span(moved_min);
        if !lasted {
            return self.wait(now, WaitReason::TooShort);
        }
        let sampled = inputs.verdict.target_runs >= CANARY_RUNS_MIN
            || self.has_passed(now, CANARY_END_FEW_RUNS);
        if !sampled {
            return self.wait(now, WaitReason::TooFewRuns);
        }
        let share = RAMP_SHARES[0];
        if !has_slots(inputs, share) {
            return self.wait(now, WaitReason::TooFewSlots);
        }
        StageStep::Change(StageChange {
            first: self.stage.first,
            ..change(RolloutPhase::Ramp, share, "the trial showed no fault")
        })
    }

    /// Returns the move of the trial to other backend servers. If those fail as well, the cause is
    /// the version, and else a fault of the present ones.
    fn move_trial(&self, now: Duration, inputs: &RolloutInputs) -> Option<StageChange> {
        let count = first_target_count(inputs.target_servers, CANARY_SHARE);
        let first = self.stage.first + count as u32;
        let has_others = (first as usize) < inputs.target_servers;
        let lasted = now >= self.stage.moved_at + MOVE_INTERVAL;
        let moved = || moved_to(first, RolloutPhase::Canary, CANARY_SHARE);
        (has_others && lasted).then(moved)
    }

    fn moved(self, now: Duration, first: u32) -> Self {
        let stage = Canary {
            moved_at: now,
            first,
            ..self.stage
        };
        self.enter(stage)
    }

    fn start_ramp(self, now: Duration) -> Rollout<Ramp> {
        let first = self.stage.first;
        self.enter(Ramp {
            since: now,
            step: 0,
            moved_at: now,
            first,
        })
    }
}

impl Rollout<Ramp> {
    fn next(&self, now: Duration, inputs: &RolloutInputs) -> StageStep {
        if inputs.verdict.is_suspicious {
            let moved = self.move_step(now, inputs);
            let wait = || self.wait(now, WaitReason::ServersFail);
            return moved.map_or_else(wait, StageStep::Change);
        }
        if now < self.stage.since + self.span(RAMP_STEP) {
            return self.wait(now, WaitReason::TooShort);
        }
        let next_share = RAMP_SHARES.get(self.stage.step + 1).copied();
        if !has_slots(inputs, next_share.unwrap_or(FULL_SLOTS_SHARE)) {
            return self.wait(now, WaitReason::TooFewSlots);
        }
        let reason = "the last step showed no fault";
        StageStep::Change(match next_share {
            Some(share) => StageChange {
                first: self.stage.first,
                ..change(RolloutPhase::Ramp, share, reason)
            },
            None => change(RolloutPhase::Drain, 1.0, reason),
        })
    }

    /// Returns the move of the step to other backend servers, like [`Rollout::move_trial`].
    fn move_step(&self, now: Duration, inputs: &RolloutInputs) -> Option<StageChange> {
        let share = RAMP_SHARES[self.stage.step];
        let count = first_target_count(inputs.target_servers, share);
        let lasted = now >= self.stage.moved_at + MOVE_INTERVAL;
        let has_others = count * 2 <= inputs.target_servers;
        let moved = || moved_to(self.stage.first + count as u32, RolloutPhase::Ramp, share);
        (has_others && lasted).then(moved)
    }

    fn moved(self, now: Duration, first: u32) -> Self {
        let stage = Ramp {
            moved_at: now,
            first,
            ..self.stage
        };
        self.enter(stage)
    }

    fn raise(self, now: Duration) -> Self {
        let stage = Ramp {
            since: now,
            step: self.stage.step + 1,
            ..self.stage
        };
        self.enter(stage)
    }

    fn start_drain(self) -> Rollout<Drain> {
        self.enter(Drain)
    }
}

impl Rollout<Drain> {
    fn next(inputs: &RolloutInputs) -> StageStep {
        if !inputs.is_drained {
            return StageStep::Wait(WaitReason::NotDrained);
        }
        let reason = "nothing runs at the earlier version";
        StageStep::Change(change(RolloutPhase::Completed, 1.0, reason))
    }
}

/// Whether the target version has warm slots for a share of the current version's requests.
fn has_slots(inputs: &RolloutInputs, share: f64) -> bool {
    f64::from(inputs.warm_target_slots) >= f64::from(inputs.current_slots) * share
}

/// A rollout in its present stage, as the deciding node holds it.
///
/// The load that the trial answers: the target version may be good or bad, and until that is known
/// every request that it gets may be lost. All the time it gets no more than a small share of what
/// the service gets in the whole rollout, and each larger share only after a smaller one showed no
/// fault.
#[derive(Debug, Clone, Copy)]
pub enum RolloutStage {
    /// No backend server of the target version is known.
    Ordered(Rollout<Ordered>),
    /// The target version is on trial.
    Canary(Rollout<Canary>),
    /// The target version's share grows.
    Ramp(Rollout<Ramp>),
    /// What runs at the earlier version ends.
    Drain(Rollout<Drain>),
}

impl RolloutStage {
    /// Creates the stage of a rollout that was ordered at `now`.
    pub const fn new(now: Duration, duration: Duration) -> Self {
        Self::Ordered(Rollout {
            taken_at: now,
            elapsed: Duration::ZERO,
            duration,
            stage: Ordered,
        })
    }

    /// Creates the stage of a rollout that was ordered before `elapsed`.
    ///
    /// Another node has decided about it so far, or an earlier process of this one. A step of the
    /// ramp begins anew, since their evidence is gone. Returns none for a rollout that has ended.
    pub fn resume(now: Duration, elapsed: Duration, record: &RolloutRecord) -> Option<Self> {
        let ordered = Rollout {
            taken_at: now,
            elapsed,
            duration: Duration::from_millis(record.duration_ms),
            stage: Ordered,
        };
        let canary = ordered.enter(Canary {
            since: None,
            moved_at: now,
            first: record.first,
        });
        match record.phase {
            RolloutPhase::Ordered => Some(Self::Ordered(ordered)),
            RolloutPhase::Canary => Some(Self::Canary(canary)),
            RolloutPhase::Ramp => {
                let step = RAMP_SHARES.iter().rposition(|&step| step <= record.share);
                let stage = Ramp {
                    since: now,
                    step: step.unwrap_or(0),
                    moved_at: now,
                    first: record.first,
                };
                Some(Self::Ramp(canary.enter(stage)))
            }
            RolloutPhase::Drain => Some(Self::Drain(canary.enter(Drain))),
            RolloutPhase::Completed | RolloutPhase::RolledBack => None,
        }
    }

    /// Returns what is due.
    pub fn next(&self, now: Duration, inputs: &RolloutInputs) -> StageStep {
        // The small share of a trial leaves time for more evidence.
        let needs_certainty = matches!(self, Self::Canary(_));
        if let Some(change) = roll_back(inputs, needs_certainty) {
            return StageStep::Change(change);
        }
        if inputs.order == OrderState::Unknown {
            return StageStep::Wait(WaitReason::OrderUnknown);
        }
        match self {
            Self::Ordered(rollout) => rollout.next(now, inputs),
            Self::Canary(rollout) => rollout.next(now, inputs),
            Self::Ramp(rollout) => rollout.next(now, inputs),
            Self::Drain(_) => Rollout::<Drain>::next(inputs),
        }
    }

    /// Enters the stage that the store holds now; none when the rollout has ended.
    #[must_use]
    pub fn enter(self, now: Duration, record: &RolloutRecord) -> Option<Self> {
        match (self, record.phase) {
            (Self::Ordered(rollout), RolloutPhase::Canary) => {
                Some(Self::Canary(rollout.start_canary(now)))
            }
            (Self::Canary(rollout), RolloutPhase::Canary) => {
                Some(Self::Canary(rollout.moved(now, record.first)))
            }
            (Self::Canary(rollout), RolloutPhase::Ramp) => {
                Some(Self::Ramp(rollout.start_ramp(now)))
            }
            (Self::Ramp(rollout), RolloutPhase::Ramp) => {
                let is_moved = rollout.stage.first != record.first;
                Some(Self::Ramp(if is_moved {
                    rollout.moved(now, record.first)
                } else {
                    rollout.raise(now)
                }))
            }
            (Self::Ramp(rollout), RolloutPhase::Drain) => Some(Self::Drain(rollout.start_drain())),
            (_, RolloutPhase::Completed | RolloutPhase::RolledBack) => None,
            (stage, _) => Some(stage),
        }
    }
}
