//! Node whose counts are missing from a sample or from a report.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// Node that couldn't be read, or that left the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MissingNode {
    /// Instance of the node, if known.
    pub instance: Option<String>,
    /// Admin address of the node, if known.
    pub admin_addr: Option<SocketAddr>,
    /// Reason why the counts are missing, for operators.
    pub reason: String,
}

impl fmt::Display for MissingNode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.instance, self.admin_addr) {
            (Some(instance), Some(addr)) => write!(f, "{instance} ({addr})")?,
            (Some(instance), None) => instance.fmt(f)?,
            (None, Some(addr)) => addr.fmt(f)?,
            (None, None) => f.write_str("unnamed")?,
        }
        write!(f, ": {}", self.reason)
    }
}
