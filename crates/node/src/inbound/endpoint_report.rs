//! What the backend server beside this node says of itself.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

use crate::member::EndpointStart;

/// State that a backend server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ReportState {
    /// Takes work.
    Ready,
    /// Is about to leave.
    Leaving,
}

/// A backend server's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointReport {
    /// Start that reports.
    pub start: EndpointStart,
    /// Service.
    pub service: String,
    /// Data centre.
    pub data_centre: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// State.
    pub state: ReportState,
    /// Time for which it stays slow after its start.
    pub cold: Duration,
    /// Number of the heartbeat; later ones are greater.
    pub sequence: u64,
}
