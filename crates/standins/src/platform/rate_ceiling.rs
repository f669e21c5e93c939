//! Ceiling on calls a second.

/// Counts calls in the current second against a ceiling.
#[derive(Debug, Default)]
pub struct RateCeiling {
    second: u64,
    used: u64,
}

impl RateCeiling {
    /// Takes one call in `second`; false when `ceiling` is reached.
    pub fn admit(&mut self, second: u64, ceiling: Option<u64>) -> bool {
        if self.second != second {
            self.second = second;
            self.used = 0;
        }
        self.used += 1;
        ceiling.is_none_or(|most| self.used <= most)
    }
}
