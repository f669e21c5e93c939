//! Urgency of the burn of an error budget.

use serde::Serialize;
use strum::{Display, IntoStaticStr};

/// Urgency of the burn of an error budget, in rising order.
///
/// An alert rule has an urgency, and so do each indicator and service in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// No slow window holds responses, so the burn is unknown.
    NoTraffic,
    /// No rule fires.
    Fine,
    /// An operator should look into it within a working day.
    Ticket,
    /// An operator must look into it now.
    Page,
}
