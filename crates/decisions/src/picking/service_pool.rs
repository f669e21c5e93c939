//! Backend servers of one service, by distance.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{latency_view::LatencyView, picker_home::TIERS, tier_pressure::TierPressure};

/// Latency taken for a service nobody has asked yet, in seconds.
const LATENCY_UNKNOWN: f64 = 0.005;

/// Members that take work, by distance, and what their answers have in common.
#[derive(Debug, Default)]
pub(super) struct ServicePool {
    pub(super) tiers: [Vec<u32>; TIERS],
    pub(super) pressure: [TierPressure; TIERS],
    pub(super) latency: LatencyView,
}

impl ServicePool {
    /// Returns the service's usual latency in seconds.
    pub(super) fn typical(&self) -> f64 {
        self.latency.estimate().unwrap_or(LATENCY_UNKNOWN)
    }

    /// Returns the number of members that take work.
    pub(super) fn len(&self) -> usize {
        self.tiers.iter().map(Vec::len).sum()
    }

    /// Returns the arena places of all members.
    pub(super) fn members(&self) -> impl Iterator<Item = u32> {
        self.tiers.iter().flatten().copied()
    }

    /// Draws the distance to try first.
    ///
    /// A share equal to the nearer one's pressure goes farther, less the
    /// pressure there: with every distance saturated, crossing data centres
    /// would cost latency and gain nothing.
    pub(super) fn first_tier(&self, now: Duration, rng: &mut impl Rng) -> usize {
        let mut peopled = (0..TIERS).filter(|&tier| !self.tiers[tier].is_empty());
        let Some(mut tier) = peopled.next() else {
            return 0;
        };
        for farther in peopled {
            let pressure = self.pressure[tier].value(now);
            if pressure == 0.0 {
                break;
            }
            let spill = pressure * (1.0 - self.pressure[farther].value(now));
            if !rng.random_bool(spill.clamp(0.0, 1.0)) {
                break;
            }
            tier = farther;
        }
        tier
    }
}
