//! Who writes, and when.

use std::time::{SystemTime, UNIX_EPOCH};

use geranium_model::OperationId;

/// Names one write of one operator.
#[derive(Debug, Clone)]
pub struct WriteStamp {
    /// Random identifier of the write.
    pub operation: OperationId,
    /// Operator.
    pub operator: String,
    /// Wall clock in milliseconds since the Unix epoch, for people to read.
    pub written_at_ms: u64,
}

impl WriteStamp {
    /// Makes a stamp for `operator` from the wall clock and random bits.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_ctl::WriteStamp;
    ///
    /// assert_ne!(WriteStamp::now("anna").operation, WriteStamp::now("anna").operation);
    /// ```
    pub fn now(operator: impl Into<String>) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            operation: OperationId::from_random(rand::random()),
            operator: operator.into(),
            written_at_ms: since_epoch.map_or(0, |age| age.as_millis() as u64),
        }
    }
}
