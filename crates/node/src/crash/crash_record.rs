//! Records of backend servers that crashed while they ran a request.

use serde::{Deserialize, Serialize};

use crate::member::EndpointStart;

/// A request that was running when a backend server crashed, and that server's start.
///
/// Every node gets each record, and counts distinct starts of backend servers for each
/// fingerprint. A record that arrives twice counts once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Hash of the request, see [`request_fingerprint`](super::request_fingerprint).
    pub fingerprint: u64,
    /// Start of the backend server that crashed.
    pub start: EndpointStart,
}
