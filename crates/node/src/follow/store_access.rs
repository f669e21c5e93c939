//! Whether the store is called.

use std::time::Duration;

use rand::{Rng, RngExt};

/// First pause: a dropped connection is opened again nearly at once.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
/// Longest pause. A node has to be back two seconds after the store is, with
/// a look that may hang for one and a call or two to make by then.
const PAUSE_MAX: Duration = Duration::from_millis(700);

/// Whether the store is called, for all parts of a node that do.
///
/// **Failures.** The store is away, or turns this node away, for seconds: each
/// part that needs it would try by itself, and every try is paid for. When it
/// returns, every node calls it in the same moment. **Guard.** After a failure no
/// part calls until a cheap look has found the store answering. The pauses
/// before looks double with each failure in a row, and are drawn from half to the
/// whole of their length, so that nodes spread over a third of a second and more.
#[derive(Debug, Default)]
pub struct StoreAccess {
    failures: u32,
    shut: bool,
}

impl StoreAccess {
    /// Whether the store may be called.
    pub const fn is_open(&self) -> bool {
        !self.shut
    }

    /// Notes that a call was answered, and returns whether that is news.
    pub fn succeeded(&mut self) -> bool {
        let failing = self.failures > 0;
        *self = Self::default();
        failing
    }

    /// Notes that a call failed, and returns whether that is news.
    pub fn failed(&mut self) -> bool {
        let first = self.failures == 0;
        self.failures = self.failures.saturating_add(1);
        self.shut = true;
        first
    }

    /// Notes that a look was answered. Calls may still fail: some ways of being
    /// away spare reads.
    pub fn looked(&mut self) {
        self.shut = false;
    }

    /// Returns the pause before the next look.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::follow::StoreAccess;
    ///
    /// let mut access = StoreAccess::default();
    /// assert!(access.failed());
    /// assert!(!access.is_open());
    /// let pause = access.pause(&mut rand::rng());
    /// assert!(pause <= Duration::from_millis(100));
    /// ```
    pub fn pause(&self, rng: &mut impl Rng) -> Duration {
        let doublings = self.failures.saturating_sub(1).min(3);
        let pause = PAUSE_FIRST * (1 << doublings);
        pause
            .min(PAUSE_MAX)
            .mul_f64(0.5 + 0.5 * rng.random::<f64>())
    }
}
