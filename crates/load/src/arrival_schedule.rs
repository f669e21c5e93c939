//! When requests start, and what they are.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::Xoshiro256PlusPlus};

use crate::LoadPlan;

/// One request to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Number of the request, from 0.
    pub number: u64,
    /// Intended start, since the start of the load.
    pub at: Duration,
    /// Index of its entry in the mix.
    pub entry: usize,
    /// Number of its caller.
    pub caller: u32,
    /// Number of the key that it touches.
    pub key: u32,
    /// Index of the target of its first try.
    pub target: usize,
    /// Seed of its content.
    pub seed: u32,
}

/// Iterator over the arrivals of a plan, in order of their start.
///
/// Gaps are exponential, as they are when many callers act on their own:
/// evenly spaced requests would never meet and queue.
#[derive(Debug, Clone)]
pub struct ArrivalSchedule {
    plan: LoadPlan,
    rng: Xoshiro256PlusPlus,
    at: Duration,
    number: u64,
    only: Option<usize>,
}

impl ArrivalSchedule {
    /// Makes the schedule of a plan that was checked.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_load::{ArrivalSchedule, LoadPlan};
    ///
    /// let mix = vec!["short:1:/a".parse()?];
    /// let plan = LoadPlan::new(vec![([127, 0, 0, 1], 80).into()], mix);
    /// let count = ArrivalSchedule::new(&plan).count();
    /// assert!((800..1200).contains(&count), "100 a second for 10 s");
    /// # Ok::<(), geranium_load::LoadError>(())
    /// ```
    pub fn new(plan: &LoadPlan) -> Self {
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(plan.seed),
            plan: plan.clone(),
            at: Duration::ZERO,
            number: 0,
            only: None,
        }
    }

    /// Makes the part of a plan's schedule that goes to one target.
    ///
    /// Each target has workers of its own, so that requests to a target that
    /// hangs can't hold up those to the others.
    pub(crate) fn at_target(plan: &LoadPlan, target: usize) -> Self {
        Self {
            only: Some(target),
            ..Self::new(plan)
        }
    }

    /// Draws the next arrival at any target.
    fn draw(&mut self) -> Option<Arrival> {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        self.at += Duration::from_secs_f64(-uniform.ln() / self.plan.rate);
        if self.at >= self.plan.duration {
            return None;
        }
        let arrival = Arrival {
            number: self.number,
            at: self.at,
            entry: self.pick_entry(),
            caller: self.pick_skewed(self.plan.callers, self.plan.hot_share),
            key: self.pick_skewed(self.plan.keys, self.plan.hot_key_share),
            target: self.rng.random_range(0..self.plan.targets.len()),
            seed: self.rng.random(),
        };
        self.number += 1;
        Some(arrival)
    }
    fn pick_entry(&mut self) -> usize {
        let weights = self.plan.mix.iter().map(|entry| entry.weight);
        let mut left = self.rng.random_range(0..weights.sum());
        let found = self.plan.mix.iter().position(|entry| {
            let chosen = left < entry.weight;
            left = left.saturating_sub(entry.weight);
            chosen
        });
        found.expect("the draw is below the sum of the weights")
    }

    /// Picks one of `count`, the first with an extra share of `hot_share`.
    fn pick_skewed(&mut self, count: u32, hot_share: f64) -> u32 {
        if self.rng.random_bool(hot_share) {
            return 0;
        }
        self.rng.random_range(0..count)
    }
}

impl Iterator for ArrivalSchedule {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        loop {
            let arrival = self.draw()?;
            if self.only.is_none_or(|target| target == arrival.target) {
                return Some(arrival);
            }
        }
    }
}
