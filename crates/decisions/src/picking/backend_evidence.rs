//! What a node's own requests saw of one backend server.

use std::time::Duration;

use super::{
    ejection_state::{EjectionCause, EjectionState},
    latency_view::{LatencyView, log_of},
    load_hint::LoadHint,
    member_grade::MemberGrade,
    pick_report::{PickReport, PickResult},
};

/// Failures in a row that eject. Three: two may be one broken connection pool.
const FAILURE_STREAK: u32 = 3;
/// Weight of a result in the failure share.
const FAILURE_WEIGHT: f64 = 0.1;
/// Failure share that ejects a backend server which fails now and then.
const FAILURE_SHARE: f64 = 0.4;
/// Factor on the score for a failure share of one. A backend server that
/// fails fast would otherwise look like the quickest and draw all work.
const FAILURE_SCORE: f64 = 10.0;
/// Answers before latency may eject: few enough to see it within a second at
/// ten requests a second.
const SAMPLES_MIN: u32 = 8;
/// Least distance from the neighbours that counts as slow: a factor of four.
const SLOW_LOG: f64 = 1.386;
/// Spreads that count as slow where answers vary much: about five standard
/// errors of an average over twenty samples.
const SLOW_SPREADS: f64 = 1.5;
/// Bounds of a refusal's retry-after: shorter would ask again before a slot
/// frees up, longer would believe a mistaken backend server.
const REFUSAL_MIN: Duration = Duration::from_millis(20);
const REFUSAL_MAX: Duration = Duration::from_secs(10);
/// Most doublings of the retry-after while a backend server only refuses. It is
/// probably leaving; one that is merely full answers some in between. Sixteen
/// times fifty milliseconds still finds it within a second of its return.
const REFUSAL_DOUBLINGS: u32 = 4;
/// Time out after one failed connection: shorter than a restart, longer than
/// a resend would take.
const UNREACHABLE_HOLD: Duration = Duration::from_millis(500);
/// Silence after which an old latency is no longer held against a member: one
/// request in this time finds out whether it has mended.
const REVISIT: Duration = Duration::from_secs(5);

/// Latency, failures, refusals and ejection of one backend server.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct BackendEvidence {
    pub(super) latency: LatencyView,
    pub(super) ejection: EjectionState,
    pub(super) hint: LoadHint,
    outstanding: u32,
    failure_share: f64,
    failure_streak: u32,
    refusals_in_row: u32,
    refusing_until: Duration,
    unreachable_until: Duration,
    last_sent: Duration,
}

impl BackendEvidence {
    pub(super) fn sent(&mut self, now: Duration) {
        self.outstanding += 1;
        self.last_sent = now;
        self.ejection.sent(now);
    }

    pub(super) fn done(&mut self, now: Duration, report: PickReport) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if let Some(load) = report.load {
            self.hint.observe(now, load);
        }
        match report.result {
            PickResult::Answered => {
                self.latency.observe(report.latency);
                self.failure_streak = 0;
                self.refusals_in_row = 0;
                self.note_failure(0.0);
            }
            PickResult::Refused { retry_after } => {
                let hold = retry_after.min(REFUSAL_MAX)
                    * (1 << self.refusals_in_row.min(REFUSAL_DOUBLINGS));
                self.refusing_until = now + hold.clamp(REFUSAL_MIN, REFUSAL_MAX);
                self.refusals_in_row = self.refusals_in_row.saturating_add(1);
            }
            PickResult::Unreachable => {
                self.unreachable_until = now + UNREACHABLE_HOLD;
                self.fail();
            }
            PickResult::TimedOut => {
                self.latency.observe(report.latency);
                self.fail();
            }
            PickResult::Broke => self.fail(),
            PickResult::Abandoned => {}
        }
    }

    fn fail(&mut self) {
        self.failure_streak += 1;
        self.note_failure(1.0);
    }

    fn note_failure(&mut self, sample: f64) {
        self.failure_share += FAILURE_WEIGHT * (sample - self.failure_share);
    }

    /// Returns how fit the backend server is.
    pub(super) fn grade(&self, now: Duration) -> MemberGrade {
        if now < self.unreachable_until {
            return MemberGrade::Broken;
        }
        match self.ejection.cause() {
            Some(_) if self.ejection.may_probe(now) => MemberGrade::Fit,
            Some(EjectionCause::Breaking) => MemberGrade::Broken,
            _ if now < self.refusing_until => MemberGrade::Refusing,
            Some(EjectionCause::Slow) => MemberGrade::Slow,
            None => MemberGrade::Fit,
        }
    }

    /// Returns the cost of one more request; lower is better.
    ///
    /// `typical` is the service's usual latency in seconds, taken for a
    /// backend server without samples or with old ones.
    pub(super) fn score(&self, now: Duration, typical: f64) -> f64 {
        let measured = self.latency.estimate().unwrap_or(typical);
        let stale = now.saturating_sub(self.last_sent) > REVISIT;
        let latency = if stale {
            measured.min(typical)
        } else {
            measured
        };
        let failing = 1.0 + FAILURE_SCORE * self.failure_share;
        f64::from(self.outstanding + 1) * latency * failing * self.hint.factor(now)
    }

    /// Reports whether results so far call for ejection as breaking.
    pub(super) fn breaking(&self) -> bool {
        self.failure_streak >= FAILURE_STREAK || self.failure_share >= FAILURE_SHARE
    }

    /// Reports whether latency is far above `median_log`, the neighbours'.
    pub(super) fn slow(&self, median_log: f64) -> bool {
        self.latency.samples() >= SAMPLES_MIN
            && self.latency.mean_log() > median_log + self.slow_distance()
    }

    /// Reports whether one probe's `latency` is in the neighbours' range.
    pub(super) fn mended(&self, latency: Duration, median_log: f64) -> bool {
        log_of(latency) <= median_log + self.slow_distance()
    }

    fn slow_distance(&self) -> f64 {
        (SLOW_SPREADS * self.latency.spread_log()).max(SLOW_LOG)
    }

    /// Forgets what led to an ejection that a probe has ended.
    pub(super) fn reinstate(&mut self, now: Duration) {
        self.ejection.reinstate(now);
        self.latency = LatencyView::default();
        self.failure_share = 0.0;
        self.failure_streak = 0;
    }

    /// Forgets all but work in flight: a new process has a new character.
    pub(super) fn restart(&mut self) {
        *self = Self {
            outstanding: self.outstanding,
            ..Self::default()
        };
    }
}
