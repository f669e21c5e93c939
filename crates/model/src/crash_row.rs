//! Records of backend server crashes under a request.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, InstanceName};

/// One backend server that broke while it ran a request.
///
/// Rows spread to every node, which counts distinct backend servers per
/// fingerprint: a row that arrives twice counts once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashRow {
    /// Hash of the request's method, path, ticket and body.
    pub fingerprint: u64,
    /// Instance whose backend server broke.
    pub instance: InstanceName,
    /// Announcement number of the backend server that broke, so that two
    /// crashes of one instance count as two.
    pub announced: Incarnation,
}
