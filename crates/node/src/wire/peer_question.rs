//! What one node asks another on the data path.

use geranium_model::{InstanceName, ServiceName};
use serde::{Deserialize, Serialize};

use super::PeerRequest;

/// A question; each gets exactly one answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerQuestion {
    /// Run this request.
    Run(Box<PeerRequest>),
    /// Give the next part of a long answer.
    NextPart {
        /// Stream named in the answer's head.
        stream: u64,
        /// Bytes received so far; a mismatch ends the stream.
        offset: u64,
    },
    /// The caller left: stop what runs or waits under this identifier.
    Cancel {
        /// Identifier of the request.
        request_id: String,
        /// Node that had sent it.
        from: InstanceName,
    },
    /// Make an at-most-once ticket for the backend server here.
    Mint(MintQuestion),
}

/// Asks for a ticket.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MintQuestion {
    /// Service that the ticket is for.
    pub service: ServiceName,
    /// Hash of the caller, by which unused tickets are bounded.
    pub caller: u64,
}
