//! Records that map a preset's name to its content.

use geranium_model::{ContentDigest, OperationId, PresetName};
use serde::{Deserialize, Serialize};

/// What a preset's name stands for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetPointer {
    /// Name.
    pub preset: PresetName,
    /// Digest of the newest content.
    pub digest: ContentDigest,
    /// Write that made this record.
    pub operation: OperationId,
    /// Write that made the record before; tells a writer whose answer was lost
    /// whether its own record was there in between.
    pub replaces: Option<OperationId>,
    /// Operator, for people to read.
    pub operator: String,
    /// Wall clock in milliseconds since the Unix epoch, for people to read.
    pub written_at_ms: u64,
}
