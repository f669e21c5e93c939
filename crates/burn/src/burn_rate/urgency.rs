//! How soon somebody must act.

use serde::Serialize;
use strum::{Display, IntoStaticStr};

/// Urgency of a service's burn, the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// No answers in any window, so nothing is known.
    NoTraffic,
    /// The budget lasts.
    Fine,
    /// Look into it within a working day.
    Ticket,
    /// Look into it now.
    Page,
}
