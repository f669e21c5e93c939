//! Records of backend servers that crashed under a request.

use serde::{Deserialize, Serialize};

use crate::member::EndpointStart;

/// One backend server that crashed while it ran a request.
///
/// Rows spread to every node, which counts distinct starts of backend servers
/// for each fingerprint: a row that arrives twice counts once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Hash of the request, see [`request_fingerprint`](super::request_fingerprint).
    pub fingerprint: u64,
    /// The start of the backend server that crashed.
    pub start: EndpointStart,
}
