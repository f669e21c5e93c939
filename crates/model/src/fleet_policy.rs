//! Settings of a preset that hold for the whole fleet.

use serde::{Deserialize, Serialize};

/// Behaviour that every node follows alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetPolicy {
    /// Crashes of backend servers after which a request is refused.
    pub poison_crashes: u8,
    /// Seconds for which such a request stays refused.
    pub poison_hold_s: u32,
    /// Deepest chain of calls that nodes pass on.
    pub hops_max: u8,
}

impl Default for FleetPolicy {
    /// Two crashes: one may be chance, and a third costs a third server. Ten
    /// minutes: a caller's automatic resends end by then. Twelve hops: the
    /// deepest call planned for has nine.
    fn default() -> Self {
        Self {
            poison_crashes: 2,
            poison_hold_s: 600,
            hops_max: 12,
        }
    }
}
