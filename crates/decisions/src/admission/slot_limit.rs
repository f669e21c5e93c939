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
//! stays for `HOLD`. Once jobs are fast again the limit doubles up to all slots.
//!
//! Grounds:
//! - `WINDOW_SAMPLES`: the lower quartile of 48 exponential service times strays
//!   by 28%, so one of 1,000 windows would pass `TOLERANCE` by chance, and
//!   `CONFIRMING` windows in a row have to.
//! - `WINDOW_MAX` ends a window early at a quiet or slow backend server, with at
//!   least `CLASS_SAMPLES` of a class to judge it by.
//! - `CUT_MOST`: half a cut can be told from none by the service times above;
//!   a deeper one would cost too much where it doesn't pay.
//! - `FLOOR_DIVISOR`: a quarter of the slots keeps bulk and short work apart
//!   and brings in samples to recover by.
//! - `HOLD`: a cut that doesn't pay costs half the slots for about one window;
//!   once in ten seconds that is a few percent at most.
//! - `SHED_CUT`: a backend server that sheds says itself that it has too much;
//!   a tenth fewer each window, as it may shed for one job's sake.

use std::time::Duration;

use geranium_model::RequestClass;

use super::service_baseline::ServiceBaseline;

const CLASSES: usize = 3;
const WINDOW_SAMPLES: usize = 48;
const CLASS_SAMPLES: usize = 8;
const WINDOW_MAX: Duration = Duration::from_secs(1);
const TOLERANCE: f64 = 2.0;
const CONFIRMING: u32 = 2;
const CUT_MOST: f64 = 0.5;
const GROWTH: f64 = 2.0;
const FLOOR_DIVISOR: u16 = 4;
const HOLD: Duration = Duration::from_secs(10);
const SHED_CUT: f64 = 0.9;

/// A cut whose effect isn't known yet.
#[derive(Debug, Clone, Copy)]
struct TrialCut {
    limit: f64,
    slowdown: f64,
}

/// Adaptive limit on the jobs at the backend server.
#[derive(Debug)]
pub(super) struct SlotLimit {
    slots: u16,
    limit: f64,
    baselines: [ServiceBaseline; CLASSES],
    samples: [Vec<f64>; CLASSES],
    opened: Duration,
    /// Jobs that started earlier ran under another limit.
    changed: Duration,
    shed: bool,
    slow_windows: u32,
    trial: Option<TrialCut>,
    hold_until: Duration,
}

impl SlotLimit {
    pub fn new(slots: u16) -> Self {
        Self {
            slots,
            limit: f64::from(slots),
            baselines: Default::default(),
            samples: std::array::from_fn(|_| Vec::with_capacity(WINDOW_SAMPLES)),
            opened: Duration::ZERO,
            changed: Duration::ZERO,
            shed: false,
            slow_windows: 0,
            trial: None,
            hold_until: Duration::ZERO,
        }
    }

    /// Returns the limit, from one to all slots.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Takes another number of slots, at the same share of them in use.
    pub fn resize(&mut self, slots: u16) {
        let share = self.limit / f64::from(self.slots);
        self.slots = slots;
        self.trial = None;
        self.set(f64::from(slots) * share);
    }

    /// Takes in a job that ran from `started` for `service`.
    pub fn observe(
        &mut self,
        now: Duration,
        class: RequestClass,
        started: Duration,
        service: Duration,
    ) {
        if started < self.changed {
            return;
        }
        self.samples[class as usize].push(service.as_secs_f64() * 1e6);
        let count: usize = self.samples.iter().map(Vec::len).sum();
        if count >= WINDOW_SAMPLES || now.saturating_sub(self.opened) >= WINDOW_MAX {
            self.close_window(now);
        }
    }

    /// Takes in a job that the backend server refused to run.
    pub fn observe_shed(&mut self, now: Duration, running: u32) {
        if !self.shed {
            self.shed = true;
            self.trial = None;
            self.set(self.limit.min(f64::from(running)) * SHED_CUT);
            self.open_window(now);
        }
    }

    fn close_window(&mut self, now: Duration) {
        let Some(slowdown) = self.least_slowdown(now) else {
            return;
        };
        self.open_window(now);
        if let Some(trial) = self.trial.take()
            && !self.has_paid(trial, slowdown)
        {
            self.set(trial.limit);
            self.hold_until = now + HOLD;
            return;
        }
        if slowdown > TOLERANCE {
            self.slow_windows += 1;
            if self.slow_windows >= CONFIRMING && now >= self.hold_until {
                self.cut(now, slowdown);
            }
        } else {
            self.slow_windows = 0;
            self.grow();
        }
    }

    /// Returns how much slower than usual the least slowed class is.
    ///
    /// A slow backend server slows every class; one class alone that slows has
    /// a new mix.
    fn least_slowdown(&mut self, now: Duration) -> Option<f64> {
        let window = now.saturating_sub(self.opened);
        let mut least = None;
        for (samples, baseline) in self.samples.iter_mut().zip(&mut self.baselines) {
            if samples.len() < CLASS_SAMPLES {
                continue;
            }
            let quarter = samples.len() / 4;
            let (_, quartile, _) = samples.select_nth_unstable_by(quarter, f64::total_cmp);
            let slowdown = baseline.compare(*quartile, window);
            least = Some(least.map_or(slowdown, |other: f64| other.min(slowdown)));
        }
        least
    }

    /// Reports whether jobs sped up by at least half of what was cut.
    fn has_paid(&self, trial: TrialCut, slowdown: f64) -> bool {
        let kept = self.limit / trial.limit;
        slowdown < trial.slowdown * f64::midpoint(1.0, kept)
    }

    fn cut(&mut self, now: Duration, slowdown: f64) {
        let before = self.limit;
        self.set(before * (TOLERANCE / slowdown).max(CUT_MOST));
        if self.limit < before {
            let limit = before;
            self.trial = Some(TrialCut { limit, slowdown });
            self.changed = now;
        }
    }

    fn grow(&mut self) {
        if !self.shed {
            self.set((self.limit * GROWTH).max(self.limit + 1.0));
        }
        self.shed = false;
    }

    fn set(&mut self, limit: f64) {
        let floor = f64::from(self.slots.div_ceil(FLOOR_DIVISOR));
        self.limit = limit.clamp(floor, f64::from(self.slots));
    }

    fn open_window(&mut self, now: Duration) {
        self.opened = now;
        for samples in &mut self.samples {
            samples.clear();
        }
    }
}
