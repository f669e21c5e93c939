//! Answers kept for replay.

/// A whole answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers in order.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Returns the bytes of its parts.
    pub fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        self.body.len() + headers
    }
}
