//! Criteria for picking a member.

use std::time::Duration;

use super::{MemberKey, VersionFilter};
use crate::response_body::SHORT_RESPONSE_MAX_BYTES;

/// Criteria by which a member is picked for a request.
#[derive(Debug, Clone, Copy)]
pub struct PickQuery<'a> {
    /// Name of the service that the member must provide.
    pub service: &'a str,
    /// Hash of the route, by which run times are recorded.
    pub route_hash: u64,
    /// Target latency of the route.
    pub target_latency: Duration,
    /// Members already tried for this request.
    pub tried: &'a [MemberKey],
    /// Members that were probed for this request and had no free slot.
    pub probed: &'a [MemberKey],
    /// Mean response size of the route in bytes; 0 if unknown.
    pub response_bytes: u64,
    /// Restriction by the versions of members.
    pub versions: VersionFilter<'a>,
}

impl PickQuery<'_> {
    /// Whether a long response is expected, which uses the link of the member's instance.
    pub const fn expects_long_response(&self) -> bool {
        self.response_bytes > SHORT_RESPONSE_MAX_BYTES
    }
}
