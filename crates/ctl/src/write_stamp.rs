//! Operator, time and identifier of a write.

use std::{
    fmt,
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

use crate::utc_time::utc_time;

/// Identification of one write by one operator, stored with what was written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteStamp {
    /// Random identifier of the write.
    ///
    /// The identifier in the stored record tells whether a write whose response was lost took
    /// effect.
    #[serde(rename = "operation")]
    pub write_id: String,
    /// Name of the operator.
    pub operator: String,
    /// Wall-clock time of the write in milliseconds since the Unix epoch.
    ///
    /// The time is for people to read; nothing is ordered by it.
    pub written_at_ms: u64,
}

impl WriteStamp {
    /// Creates the stamp of a new write by `operator`, with a random identifier.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_ctl::WriteStamp;
    ///
    /// assert_ne!(WriteStamp::now("anna").write_id, WriteStamp::now("anna").write_id);
    /// ```
    pub fn now(operator: impl Into<String>) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            write_id: format!("{:032x}", rand::random::<u128>()),
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
            self.operator, self.write_id
        )
    }
}
