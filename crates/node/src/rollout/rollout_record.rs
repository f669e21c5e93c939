//! State of a rollout, as nodes share it.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use super::RolloutOrder;
use crate::{member::EndpointVersion, store::Revision};

/// Prefix of the keys of rollout records in the store.
pub const ROLLOUT_PREFIX: &str = "geranium/rollout/";

/// Phase of a rollout.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RolloutPhase {
    /// No backend server of the target version is known yet.
    Ordered,
    /// The target version gets a small share of the requests.
    Canary,
    /// The target version gets a growing share of the requests.
    Ramp,
    /// The target version gets all requests; what runs at the earlier version ends.
    Drain,
    /// The target version is in force, and the earlier one may be stopped.
    Completed,
    /// The target version gets no requests.
    RolledBack,
}

impl RolloutPhase {
    /// Whether the rollout has ended.
    pub const fn is_terminal(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// State of the latest rollout of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Name of the service.
    pub service: String,
    /// Revision of the operator's order.
    pub order: u64,
    /// Version to which the service's traffic is moved.
    pub target: EndpointVersion,
    /// Time in milliseconds in which the rollout is to be completed.
    pub duration_ms: u64,
    /// Unix time in milliseconds at which the deciding node saw the order.
    pub ordered_ms: u64,
    /// Time in milliseconds from then to the last change of the record.
    pub elapsed_ms: u64,
    /// Phase of the rollout.
    pub phase: RolloutPhase,
    /// Share of the service's requests for the target version, from 0 to 1.
    pub share: f64,
    /// Position of the first backend server of the target version that is on trial, in the order
    /// of [`first_targets`](super::first_targets).
    #[serde(default)]
    pub first: u32,
    /// Address of the node that decides about the rollout.
    pub decided_by: SocketAddr,
    /// Why the rollout entered its phase.
    pub reason: String,
}

impl RolloutRecord {
    /// Creates the record of a rollout that has just been ordered.
    ///
    /// `ordered_ms` is the Unix time in milliseconds.
    pub fn ordered(
        order: &RolloutOrder,
        revision: Revision,
        ordered_ms: u64,
        decided_by: SocketAddr,
    ) -> Self {
        Self {
            service: order.service.clone(),
            order: revision.0,
            target: order.target.clone(),
            duration_ms: order.duration.as_millis() as u64,
            ordered_ms,
            elapsed_ms: 0,
            phase: RolloutPhase::Ordered,
            share: 0.0,
            first: 0,
            decided_by,
            reason: "ordered".to_owned(),
        }
    }

    /// Returns the time since the order, at the Unix time `unix_ms`.
    ///
    /// The times of day of two nodes may differ, or jump. So the result is never less than the time
    /// up to the record's last change, nor more than the rollout's duration beyond that.
    pub fn elapsed(&self, unix_ms: u64) -> Duration {
        let by_clock = unix_ms.saturating_sub(self.ordered_ms);
        let latest = self.elapsed_ms.saturating_add(self.duration_ms);
        Duration::from_millis(by_clock.clamp(self.elapsed_ms, latest))
    }

    /// Whether the record is that of an order, and not of an earlier or later one.
    ///
    /// An order that is written again is the same order while its rollout goes on, and after it
    /// is completed. After a roll-back it is a new one, unless the store was restored from an
    /// older copy meanwhile: operators' documents are then written again.
    pub fn is_of(&self, order: &RolloutOrder, revision: Revision) -> bool {
        if self.target != order.target {
            return false;
        }
        let same_era = Revision(self.order).era() == revision.era();
        let repeated = same_era && revision.0 > self.order;
        !(repeated && self.phase == RolloutPhase::RolledBack)
    }
}

/// Returns the key in the store of a service's rollout record.
pub fn rollout_key(service: &str) -> String {
    format!("{ROLLOUT_PREFIX}{service}")
}
