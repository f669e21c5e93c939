//! Calls to the platform's key-value service and what comes back.

use std::time::Duration;

use geranium_model::{ContentDigest, DataCentre, InForce};

/// A call that the node's platform thread should make.
///
/// At most one [`PlatformCall::WatchInForce`] and one other are out at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformCall {
    /// Read the in-force key.
    ReadInForce,
    /// Wait for a change of the in-force key.
    WatchInForce {
        /// Report only what was written after this revision.
        after_revision: u64,
        /// Longest time to wait.
        wait: Duration,
    },
    /// Read a preset document.
    ReadContent(ContentDigest),
    /// Read the seeds of a data centre.
    ReadSeeds(DataCentre),
    /// Replace the seeds of a data centre.
    WriteSeeds {
        /// The data centre.
        data_centre: DataCentre,
        /// Bytes to store.
        value: Vec<u8>,
    },
}

impl PlatformCall {
    /// Reports whether the call is the waiting one.
    pub const fn is_watch(&self) -> bool {
        matches!(self, Self::WatchInForce { .. })
    }
}

/// What the in-force key held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InForceRead {
    /// Nothing was ever activated, or the key was removed.
    Absent,
    /// A well-formed record.
    Record(InForce),
    /// Something that isn't a record.
    Malformed {
        /// What the parser found.
        reason: String,
    },
}

/// Outcome of a [`PlatformCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformReport {
    /// The in-force key was read, by a read or a watch.
    InForce {
        /// Whether a watch reports it.
        watched: bool,
        /// Revision of the platform's store at the read.
        revision: u64,
        /// The key's content.
        record: InForceRead,
    },
    /// A watch ended without a change.
    Unchanged {
        /// Revision of the platform's store when it ended.
        revision: u64,
    },
    /// A preset document was read.
    Content {
        /// Digest it was asked for by.
        digest: ContentDigest,
        /// The document, if there is one.
        bytes: Option<Vec<u8>>,
    },
    /// A seeds key was read.
    Seeds {
        /// The data centre.
        data_centre: DataCentre,
        /// Content of the key, if there is one.
        value: Option<Vec<u8>>,
    },
    /// A seeds key was written.
    SeedsWritten {
        /// The data centre.
        data_centre: DataCentre,
    },
    /// The call failed; a write may have taken effect all the same.
    Failed {
        /// The call.
        call: PlatformCall,
    },
}
