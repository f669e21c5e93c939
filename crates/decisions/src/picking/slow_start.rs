//! Reduced share for a cold backend server.

use std::time::Duration;

use geranium_model::MemberState;

/// Time over which a cold backend server grows to its full share. Ten seconds
/// cover filling connections and caches; a longer ramp would leave a service
/// short of capacity after a herd of restarts.
const RAMP: Duration = Duration::from_secs(10);
/// Share at the start of the ramp: enough to warm up by real requests, and one
/// request in fifty is too few to be the caller's 99th percentile.
const SHARE_MIN: f64 = 0.02;
/// Most a member gets while it calls itself warming.
const WARMING_SHARE_MAX: f64 = 0.5;

/// Returns the share of draws that a member takes part in, from 0.02 to 1.
///
/// The share grows with the square of time: a cold backend server is slowest
/// right at its start.
pub(super) fn share(now: Duration, cold_since: Duration, state: MemberState) -> f64 {
    let age = now.saturating_sub(cold_since);
    if age >= RAMP && state == MemberState::Live {
        return 1.0;
    }
    let grown = age.as_secs_f64() / RAMP.as_secs_f64();
    let ramp = (grown * grown).clamp(SHARE_MIN, 1.0);
    if state == MemberState::Warming {
        ramp.min(WARMING_SHARE_MAX)
    } else {
        ramp
    }
}
