//! Who writes, and when.

use std::{
    fmt,
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

use crate::utc_time::utc_time;

/// Names one write of one operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteStamp {
    /// Random identifier of the write, by which it is recognised after a lost
    /// answer.
    pub operation: String,
    /// Operator.
    pub operator: String,
    /// Wall clock in milliseconds since the Unix epoch, for people to read:
    /// nothing decides by it.
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
            operation: format!("{:032x}", rand::random::<u128>()),
            operator: operator.into(),
            written_at_ms: since_epoch.map_or(0, |age| age.as_millis() as u64),
        }
    }
}

impl fmt::Display for WriteStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = utc_time(self.written_at_ms);
        write!(
            f,
            "by {} at {at}, operation {}",
            self.operator, self.operation
        )
    }
}
