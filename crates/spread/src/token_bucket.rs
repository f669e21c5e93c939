//! Token buckets, which bound bytes and calls per second.

use std::time::Duration;

/// Bucket that fills at a steady rate up to a burst.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_spread::TokenBucket;
///
/// let mut bucket = TokenBucket::new(1.0, 2.0, 2.0);
/// assert!(bucket.take(Duration::ZERO, 2.0));
/// assert!(!bucket.take(Duration::ZERO, 1.0));
/// assert!(bucket.take(Duration::from_secs(1), 1.0));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    level: f64,
    filled_at: Duration,
}

impl TokenBucket {
    /// Makes a bucket that holds `level` tokens of at most `burst`.
    pub const fn new(per_second: f64, burst: f64, level: f64) -> Self {
        Self {
            per_second,
            burst,
            level,
            filled_at: Duration::ZERO,
        }
    }

    /// Lets the bucket fill from `now` on.
    pub const fn start(&mut self, now: Duration) {
        self.filled_at = now;
    }

    /// Changes the rate from now on.
    pub const fn set_rate(&mut self, per_second: f64) {
        self.per_second = per_second;
    }

    /// Takes `amount` tokens if the bucket holds any.
    ///
    /// An amount above the burst is let through once the bucket is full, and
    /// leaves a debt: otherwise a large message could never be sent.
    pub fn take(&mut self, now: Duration, amount: f64) -> bool {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.level = (self.level + elapsed * self.per_second).min(self.burst);
        self.filled_at = now;
        let open = self.level >= amount.min(self.burst);
        if open {
            self.level -= amount;
        }
        open
    }
}
