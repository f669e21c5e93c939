//! Records of backend servers that crashed while they ran a request.

use serde::{Deserialize, Serialize};

use crate::member::EndpointStart;

/// A request that was running when a backend server crashed, and that server's start.
///
/// Every node gets each record, and counts distinct starts of backend servers for each
/// fingerprint. A record that arrives twice counts once, with the larger number of completions.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Hash of the request, see [`request_fingerprint`](super::request_fingerprint).
    pub fingerprint: u64,
    /// Start of the backend server that crashed.
    pub start: EndpointStart,
    /// Completions of the request between its crash before and this one, as far as known to the
    /// node beside the backend server and to the sender. Nodes of earlier versions don't know the
    /// field, and count the crash in full.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub completions: u32,
}

impl CrashRecord {
    /// Returns whether both are about the same request at the same crash.
    pub fn is_same_crash(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint && self.start == other.start
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde calls it with a reference"
)]
const fn is_zero(completions: &u32) -> bool {
    *completions == 0
}
