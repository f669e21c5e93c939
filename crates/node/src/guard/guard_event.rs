//! What the guard thread is told.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use geranium_decisions::admission::JobId;
use geranium_model::{CrashRow, InstanceName, Preset, ResultCode, ServiceName};

use super::{ReplySink, backend_call::CallEnd};
use crate::wire::{MintQuestion, PeerAnswer, PeerQuestion, PeerRequest, Refusal};

/// Advice when the guard's ring is full: it empties within milliseconds.
const FULL_RETRY_MS: u32 = 250;

/// Something that happened.
#[derive(Debug)]
pub enum GuardEvent {
    /// A request for the own backend server.
    Offer(Box<PeerRequest>, ReplySink),
    /// A worker is done with a request.
    Finished {
        /// The request.
        id: JobId,
        /// How the call ended.
        end: CallEnd,
        /// Time from sending it to its last byte.
        service: Duration,
    },
    /// A caller left.
    Cancel {
        /// Identifier of its request.
        request_id: String,
        /// Node that the caller had asked.
        from: InstanceName,
    },
    /// Somebody wants a ticket.
    Mint(MintQuestion, ReplySink),
    /// Somebody wants the next part of a long body.
    NextPart {
        /// Stream.
        stream: u64,
        /// Bytes received so far.
        offset: u64,
        /// Where the part goes.
        sink: ReplySink,
    },
    /// The own backend server announced something.
    Backend(BackendNotice),
    /// Another preset is in force.
    Preset(Arc<Preset>),
    /// A crash elsewhere.
    Crash(CrashRow),
    /// This node leaves.
    Drain,
    /// Time passed.
    Tick,
}

impl GuardEvent {
    /// Answers a request that found no place in the guard's ring.
    pub fn refuse_full(self) {
        // A ticket isn't ended by this, so its outcome stays open.
        let refusal = match &self {
            Self::Offer(request, _) if request.ticket.is_some() => Refusal {
                retry_after_ms: FULL_RETRY_MS,
                ..Refusal::maybe_run(ResultCode::QueueFull)
            },
            _ => Refusal::not_run(ResultCode::QueueFull, FULL_RETRY_MS),
        };
        if let Self::Offer(_, sink) | Self::Mint(_, sink) | Self::NextPart { sink, .. } = self {
            sink.reply(PeerAnswer::Refused(refusal));
        }
    }

    /// Turns a question into what the guard does about it.
    pub fn from_question(question: PeerQuestion, sink: ReplySink) -> Self {
        match question {
            PeerQuestion::Run(request) => Self::Offer(request, sink),
            PeerQuestion::NextPart { stream, offset } => Self::NextPart {
                stream,
                offset,
                sink,
            },
            PeerQuestion::Mint(question) => Self::Mint(question, sink),
            PeerQuestion::Cancel { request_id, from } => {
                sink.reply(PeerAnswer::Done);
                Self::Cancel { request_id, from }
            }
        }
    }
}

/// What the own backend server says of itself, or its silence says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackendNotice {
    /// It takes work.
    Up {
        /// Where it listens.
        addr: SocketAddr,
        /// Service that it gives.
        service: ServiceName,
        /// Requests that it runs at a time.
        slots: u16,
        /// Number that differs between two starts of it.
        announced: u64,
    },
    /// It takes no new work.
    Leaving,
    /// It isn't heard of.
    Lost,
}
