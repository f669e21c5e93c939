//! Heartbeats of the backend server beside this node.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

use crate::member::{EndpointStart, EndpointVersion};

/// State that a backend server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ReportState {
    /// The backend server accepts requests.
    Ready,
    /// The backend server is about to leave.
    Leaving,
}

/// Heartbeat of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointReport {
    /// Start of the backend server that reports.
    pub start: EndpointStart,
    /// Name of the service that the backend server provides.
    pub service: String,
    /// Name of the data centre in which the backend server runs.
    pub data_centre: String,
    /// Version of the backend server's software; none if it reports none.
    pub version: Option<EndpointVersion>,
    /// Number of requests that the backend server runs at a time.
    pub slots: u32,
    /// Whether the backend server accepts requests or is leaving.
    pub state: ReportState,
    /// Slow-start time that is left to the backend server.
    pub cold: Duration,
    /// Sequence number of the heartbeat; later heartbeats have greater numbers.
    pub sequence: u64,
}
