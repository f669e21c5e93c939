//! Operators' side of rollouts in the store.

use strum::{Display, IntoStaticStr};

use super::{RolloutOrder, RolloutOrderError, RolloutPhase, RolloutRecord};

/// State of a rollout, as operators read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RolloutStatus {
    /// The rollout goes on.
    Running,
    /// The target version is in force, and the earlier one may be stopped.
    Completed,
    /// The target version gets no requests, and may be stopped.
    RolledBack,
}

impl From<RolloutPhase> for RolloutStatus {
    fn from(phase: RolloutPhase) -> Self {
        match phase {
            RolloutPhase::Completed => Self::Completed,
            RolloutPhase::RolledBack => Self::RolledBack,
            RolloutPhase::Ordered
            | RolloutPhase::Canary
            | RolloutPhase::Ramp
            | RolloutPhase::Drain => Self::Running,
        }
    }
}

/// Keys of operators' orders and of the status that they read, with their encodings.
#[derive(Debug, Clone, Copy)]
pub struct RolloutSource {
    /// Prefix that the keys of orders and of the configuration share.
    pub watch_prefix: &'static str,
    /// Prefix of the keys of orders; the name of the service follows.
    pub order_prefix: &'static str,
    /// Parses an order.
    pub parse_order: fn(&[u8]) -> Result<RolloutOrder, RolloutOrderError>,
    /// Prefix of the keys of status documents; the name of the service follows.
    pub status_prefix: &'static str,
    /// Encodes the status of a rollout.
    pub write_status: fn(&RolloutRecord) -> Vec<u8>,
}
