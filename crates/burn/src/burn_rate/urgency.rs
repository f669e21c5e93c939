//! Urgency of an alert.

use serde::Serialize;
use strum::{Display, IntoStaticStr};

/// Urgency of a service's burn, in rising order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// The slow windows hold no responses, so the burn is unknown.
    NoTraffic,
    /// No rule fires.
    Fine,
    /// An operator should look into it within a working day.
    Ticket,
    /// An operator must look into it now.
    Page,
}
