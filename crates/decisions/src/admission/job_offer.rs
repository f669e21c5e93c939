//! Requests as they are offered to the gate.

use std::time::Duration;

use geranium_model::RequestClass;

/// Identifier of a request at one node, unique among those the gate holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request that wants to run at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobOffer {
    /// Identifier, by which decisions name the job.
    pub id: JobId,
    /// Class of the request's route.
    pub class: RequestClass,
    /// Hash of the caller's name.
    pub caller: u64,
    /// Hash of the key that the request touches.
    pub key: Option<u64>,
    /// Time on the gate's clock at which the caller stops waiting.
    pub deadline: Duration,
}
