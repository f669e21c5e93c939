//! What is asked of a pick.

use super::MemberKey;

/// What is asked of a pick.
#[derive(Debug, Clone, Copy)]
pub struct PickQuery<'a> {
    /// Service that has to answer.
    pub service: &'a str,
    /// Members already tried for this request.
    pub tried: &'a [MemberKey],
    /// Bytes of a usual answer on this route; 0 when unknown.
    pub answer_bytes: u64,
}
