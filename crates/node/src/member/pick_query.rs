//! What is asked of a pick.

use std::time::Duration;

use super::MemberKey;
use crate::response_body::SHORT_RESPONSE_MAX_BYTES;

/// What is asked of a pick.
#[derive(Debug, Clone, Copy)]
pub struct PickQuery<'a> {
    /// Service that has to answer.
    pub service: &'a str,
    /// Hash of the route, by which times of runs are kept.
    pub route_hash: u64,
    /// Time within which the answer is of full use.
    pub target: Duration,
    /// Members already tried for this request.
    pub tried: &'a [MemberKey],
    /// Members that had no free slot for it.
    pub probed: &'a [MemberKey],
    /// Bytes of a usual answer on this route; 0 when unknown.
    pub response_bytes: u64,
}

impl PickQuery<'_> {
    /// Whether a long answer is expected.
    pub const fn is_long(&self) -> bool {
        self.response_bytes > SHORT_RESPONSE_MAX_BYTES
    }
}
