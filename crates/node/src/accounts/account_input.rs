//! Accounts of a configuration document before they are checked.

use serde::{Deserialize, Serialize};

use super::KeyDigest;

/// Account of a configuration document before it is checked.
///
/// Nodes also send accounts to each other in this form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountInput {
    /// Name of the account.
    pub name: String,
    /// Digests of the keys that identify the account.
    pub digests: Vec<KeyDigest>,
    /// Priority rank, which goes before that of the route; none to use the route's alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
    /// Requests per second that the account may send to all nodes together; 0 for no limit.
    #[serde(default)]
    pub rate_per_s: f64,
    /// Requests that the account may send at once beyond its rate.
    #[serde(default)]
    pub burst: f64,
}
