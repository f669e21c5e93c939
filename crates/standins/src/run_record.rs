//! Record of a request that a backend server ran.

use std::time::Instant;

/// A request that a backend server ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// Identifier of the caller's attempt.
    pub request: String,
    /// Identifier of the backend server.
    pub instance: String,
    /// Start time of the backend server, in Unix milliseconds.
    pub born_ms: u64,
    /// Path and query of the request.
    pub path: String,
    /// Service beside which the request was sent.
    pub caller_service: String,
    /// Headers of the request, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Milliseconds left until the caller's deadline; 0 if the header is missing.
    pub deadline_ms: u64,
    /// When the run started.
    pub began: Instant,
    /// Whether the run was cut short because its connection closed or its server
    /// crashed.
    pub cancelled: bool,
    /// Whether its response said that the server leaves.
    pub said_leaving: bool,
}

impl RunRecord {
    /// Returns all values of a header, whose name is in lower case.
    pub fn header(&self, name: &str) -> Vec<&str> {
        let named = self.headers.iter().filter(|(known, _)| known == name);
        named.map(|(_, value)| &**value).collect()
    }
}
