//! Nodes whose counts a sample lacks.

use std::{fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};

/// A node that couldn't be read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MissingNode {
    /// Instance, where a member row names it.
    pub instance: Option<String>,
    /// Admin address, where it is known.
    pub admin_addr: Option<SocketAddr>,
    /// What the call ended with.
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
