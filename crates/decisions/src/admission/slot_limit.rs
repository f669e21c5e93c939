//! Slots in use, adapted to a backend server that slows.
//!
//! Load pattern: the backend server has less to give than its slots promise (a
//! neighbour takes its processor, a cache is cold, a disk is slow), so that
//! more jobs at a time only make each of them slower.
//!
//! Without it: every slot is filled, all jobs slow together, and those that
//! would have been answered in time end after their callers left.
//!
//! Service time over its baseline is the gradient: while the least slowed class
//! is slower than `TOLERANCE`, the limit falls in proportion, down to a floor.
//! A cut has to pay: where jobs run as slowly at the lower limit (the cause is
//! elsewhere, and each slot taken away is lost), the limit goes back up and
//! stays for `HOLD`, and a raise is tried, in case an earlier cut was kept by
//! chance. Once jobs are fast again the limit grows by steps that widen with
//! each fast window; a slow one takes the last step back.
//!
//! Grounds:
//! - `DEVIATION`: the lower quartile of n exponential service times strays by
//!   two over the root of n. A class counts as slow if it is so beyond one
//!   deviation, so that one with few jobs isn't slow by chance.
//! - `WINDOW_SAMPLES`: of 256 it strays by an eighth, so `TOLERANCE` of 1.5 and
//!   one deviation lie four deviations out.
//! - `GLANCE_SAMPLES`: after 48, where it strays by a quarter, slots are won
//!   back if jobs were fast; after `TRIAL_SAMPLES` a window ends as well if it
//!   is beyond `SEVERE`, which is over six deviations out. Only whole windows
//!   move the baseline: those cut short are chosen by their outcome.
//! - `WINDOW_MAX` ends a window early at a slow or quiet backend server.
//! - `CUT_MOST`: half a cut can be told from none by the service times above;
//!   a deeper one would cost too much where it doesn't pay.
//! - `TRIAL_SAMPLES`: the mean of the lowest three quarters of 96 exponential
//!   service times strays by an eighth, which tells a cut that paid from one
//!   that didn't 49 times in 50; unlike the quartile it needn't outlive a change
//!   of mix. `TRIAL_MAX` bounds what a wrong cut can cost.
//! - `FLOOR_DIVISOR`: a quarter of the slots keeps bulk and short work apart
//!   and brings in samples to recover by.
//! - `HOLD`: a cut that doesn't pay costs half the slots for about one window;
//!   once in ten seconds that is a few percent at most.
//! - `REST`: a step up that turns out slow costs part of a window; twice a
//!   second that is a few percent, and a server that recovered is found so soon.
//! - `SHED_CUT`: a backend server that sheds says itself that it has too much;
//!   a tenth fewer each window, as it may shed for one job's sake.

use std::time::Duration;

use geranium_model::RequestClass;

use super::{CLASSES, limit_window::LimitWindow, service_baseline::ServiceBaseline};

const WINDOW_SAMPLES: usize = 256;
const GLANCE_SAMPLES: usize = 48;
const WINDOW_MAX: Duration = Duration::from_secs(1);
const TOLERANCE: f64 = 1.5;
const DEVIATION: f64 = 2.0;
const SEVERE: f64 = 3.0;
const CUT_MOST: f64 = 0.5;
const TRIAL_SAMPLES: usize = 96;
const TRIAL_MAX: Duration = Duration::from_secs(3);
const STEP_GROWTH: f64 = 4.0;
const REST: Duration = Duration::from_millis(500);
const FLOOR_DIVISOR: u16 = 4;
const HOLD: Duration = Duration::from_secs(10);
const SHED_CUT: f64 = 0.9;

/// A change of the limit whose effect isn't known yet.
#[derive(Debug, Clone, Copy)]
struct TrialChange {
    /// Limit before.
    limit: f64,
    /// Class by which it is judged, and its typical service time before.
    class: usize,
    typical_us: f64,
}

/// Adaptive limit on the jobs at the backend server.
#[derive(Debug)]
pub(super) struct SlotLimit {
    slots: u16,
    limit: f64,
    baselines: [ServiceBaseline; CLASSES],
    window: LimitWindow,
    has_shed: bool,
    was_slow: bool,
    trial: Option<TrialChange>,
    /// No cuts before this.
    hold_until: Duration,
    /// While jobs are slow, no raise is tried before this.
    raise_from: Duration,
    /// Slots added by the last step up; 0 when the last change was another.
    stepped: f64,
    /// No steps up before this.
    rest_until: Duration,
}

impl SlotLimit {
    pub fn new(slots: u16) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            baselines: Default::default(),
            window: LimitWindow::with_capacity(WINDOW_SAMPLES),
            has_shed: false,
            was_slow: false,
            trial: None,
            hold_until: Duration::ZERO,
            raise_from: Duration::ZERO,
            stepped: 0.0,
            rest_until: Duration::ZERO,
        }
    }

    /// Returns the limit, from one to all slots.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Takes another number of slots, at the same share of them in use.
    pub fn resize(&mut self, now: Duration, slots: u16) {
        let share = self.limit / f64::from(self.slots);
        self.slots = slots;
        self.trial = None;
        self.stepped = 0.0;
        let changed = self.set(f64::from(slots) * share);
        self.window.reopen(now, changed);
    }

    /// Takes in a job that ran for `service`.
    pub fn observe(&mut self, now: Duration, class: RequestClass, service: Duration) {
        if !self.window.push(now, class, service) {
            return;
        }
        let count = self.window.count();
        let age = self.window.age(now);
        if self.trial.is_some() {
            if count >= TRIAL_SAMPLES || age >= TRIAL_MAX {
                self.end_trial(now);
            }
            return;
        }
        let is_full = count >= WINDOW_SAMPLES || age >= WINDOW_MAX;
        if is_full || count == GLANCE_SAMPLES || count == TRIAL_SAMPLES {
            self.judge(now, count, is_full);
        }
    }

    /// Takes in a job that the backend server refused to run.
    pub fn observe_shed(&mut self, now: Duration, running: u32) {
        if self.has_shed {
            return;
        }
        self.has_shed = true;
        self.trial = None;
        self.stepped = 0.0;
        let changed = self.set(self.limit.min(f64::from(running)) * SHED_CUT);
        self.window.reopen(now, changed);
    }

    fn judge(&mut self, now: Duration, count: usize, is_full: bool) {
        let Some(slowdown) = self.least_slowdown(0.0) else {
            return;
        };
        let certain = self.least_slowdown(DEVIATION).unwrap_or(slowdown);
        let may_grow = !self.is_whole() && slowdown < TOLERANCE;
        let is_severe = count >= TRIAL_SAMPLES && certain > SEVERE;
        if !(is_full || may_grow || is_severe) {
            return;
        }
        if is_full {
            self.learn(now);
        }
        let changed = self.react(now, slowdown, certain);
        self.window.reopen(now, changed);
    }

    /// Changes the limit after a window, and reports whether it did.
    fn react(&mut self, now: Duration, slowdown: f64, certain: f64) -> bool {
        let has_shed = std::mem::take(&mut self.has_shed);
        let was_slow = std::mem::replace(&mut self.was_slow, certain > TOLERANCE);
        if slowdown < TOLERANCE {
            return !has_shed && self.step_up(now);
        }
        if self.stepped > 0.0 {
            return self.step_back(now);
        }
        let confirmed = self.was_slow && (was_slow || certain > SEVERE);
        if confirmed && now >= self.hold_until && self.limit > self.floor() {
            return self.try_limit(self.limit * (TOLERANCE / slowdown).max(CUT_MOST));
        }
        self.was_slow && now >= self.raise_from && self.try_limit(self.limit / CUT_MOST)
    }

    /// Keeps a change that jobs' service times justify, or takes it back.
    ///
    /// The line is half way, on a scale of ratios, between jobs that run as
    /// before and jobs that slow as the limit rises.
    fn end_trial(&mut self, now: Duration) {
        let Some(trial) = self.trial.take() else {
            return;
        };
        let was_cut = self.limit < trial.limit;
        let bearable_us = trial.typical_us * (self.limit / trial.limit).sqrt();
        let now_us = self.window.typical_us(trial.class);
        let keeps = now_us.is_some_and(|now_us| now_us < bearable_us);
        if !keeps {
            self.set(trial.limit);
        }
        if was_cut != keeps {
            self.hold_until = now + HOLD;
        }
        if !was_cut && !keeps {
            self.raise_from = now + HOLD;
        }
        self.window.reopen(now, !keeps);
    }

    /// Returns how much slower than usual the least slowed class is, less its
    /// quartile's `deviation` for one sample, over the root of their number.
    ///
    /// A slow backend server slows every class; one class alone that slows has
    /// a new mix.
    fn least_slowdown(&mut self, deviation: f64) -> Option<f64> {
        let slowdown = |class: usize| {
            let (quartile_us, count) = self.window.quartile_us(class)?;
            let margin = (-deviation / (count as f64).sqrt()).exp();
            Some(self.baselines[class].slowdown(quartile_us) * margin)
        };
        (0..CLASSES).filter_map(slowdown).min_by(f64::total_cmp)
    }

    fn learn(&mut self, now: Duration) {
        let age = self.window.age(now);
        for (class, baseline) in self.baselines.iter_mut().enumerate() {
            if let Some((quartile_us, _)) = self.window.quartile_us(class) {
                baseline.learn(quartile_us, age);
            }
        }
    }

    fn try_limit(&mut self, wanted: f64) -> bool {
        let class = self.window.main_class();
        let Some(typical_us) = self.window.typical_us(class) else {
            return false;
        };
        let limit = self.limit;
        let changed = self.set(wanted);
        if changed {
            self.trial = Some(TrialChange {
                limit,
                class,
                typical_us,
            });
        }
        changed
    }

    fn step_up(&mut self, now: Duration) -> bool {
        if self.is_whole() {
            self.hold_until = Duration::ZERO;
        }
        if now < self.rest_until || self.is_whole() {
            self.stepped = 0.0;
            return false;
        }
        let before = self.limit;
        let changed = self.set(before + (self.stepped * STEP_GROWTH).max(1.0));
        self.stepped = self.limit - before;
        changed
    }

    fn step_back(&mut self, now: Duration) -> bool {
        self.rest_until = now + REST;
        let stepped = std::mem::take(&mut self.stepped);
        self.set(self.limit - stepped)
    }

    /// Sets the limit within its bounds, and reports whether it changed.
    fn set(&mut self, limit: f64) -> bool {
        let before = self.limit;
        self.limit = limit.clamp(self.floor(), f64::from(self.slots));
        self.limit.total_cmp(&before).is_ne()
    }

    fn floor(&self) -> f64 {
        f64::from(self.slots.div_ceil(FLOOR_DIVISOR))
    }

    fn is_whole(&self) -> bool {
        self.limit >= f64::from(self.slots)
    }
}
