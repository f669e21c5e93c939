//! Clock that goes on while the machine is suspended.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Clock that goes on while the machine is suspended.
///
/// Leases and proofs of freshness run out by the time of others, which doesn't stop for this
/// machine. The monotonic clock ([`NodeClock`](crate::node_clock::NodeClock)) stops while the machine
/// is suspended, and the wall clock may jump.
#[derive(Debug, Clone, Copy)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the machine was started, including suspensions.
    ///
    /// # Panics
    ///
    /// Panics if the operating system has no such clock, which Linux has had since 2.6.39.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::boot_clock::BootClock;
    ///
    /// let before = BootClock::now();
    /// assert!(BootClock::now() >= before);
    /// ```
    pub fn now() -> Duration {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has this clock");
        Duration::from(time)
    }
}
