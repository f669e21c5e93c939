//! Requests that wait or run at the own backend server.

use std::time::Instant;

use geranium_decisions::once::RunKey;
use geranium_model::InstanceName;

use super::ReplySink;
use crate::wire::PeerRequest;

/// A request that waits or runs.
#[derive(Debug)]
pub struct HeldJob {
    /// The request, until a worker has it.
    pub request: Option<Box<PeerRequest>>,
    /// Where the answer goes, until a worker has it.
    pub sink: Option<ReplySink>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Its ticket's attempt, if it has a ticket.
    pub ticket: Option<HeldTicket>,
    /// Hash of method, path, ticket and body.
    pub fingerprint: u64,
    /// Identifier from the caller.
    pub request_id: String,
    /// Node that the caller had asked.
    pub from: InstanceName,
}

/// The one attempt that a ticket has under way here.
#[derive(Debug, Clone, Copy)]
pub struct HeldTicket {
    /// The ticket's number.
    pub sequence: u64,
    /// The attempt.
    pub run: RunKey,
}
