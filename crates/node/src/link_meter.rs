//! How much of the instance's link is spoken for.

use std::{cell::RefCell, rc::Rc, time::Duration};

/// Part of the link that is planned with. The rest goes to packet headers,
/// lost packets, and what is sent besides answers.
const PLANNED_PART: f64 = 0.9;
/// Bits in a megabit, over bits in a byte.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// How much of the instance's link is spoken for.
///
/// **Load pattern.** Files of 90 kB on a link of 6.5 Mbit/s, which carries
/// nine of them a second, asked for twice as often; beside them answers of a
/// few kilobytes that others wait for.
///
/// **Without it.** Files queue on the link. Each takes longer than its caller
/// waits, and the small answers behind them as well: measured at such a
/// service, 11 of 100 inner calls were answered in time.
///
/// **How.** What is sent fills a bucket that drains at the link's pace. What
/// was promised and is still being made waits beside it. Both together say how
/// long a further byte would wait.
#[derive(Debug, Clone, Copy)]
pub struct LinkMeter {
    bytes_per_s: f64,
    promised: f64,
    level: f64,
    at: Duration,
}

impl LinkMeter {
    /// Makes the meter of a link.
    pub fn new(link_mbps: f64) -> Self {
        Self {
            bytes_per_s: (link_mbps * BYTES_PER_MBIT * PLANNED_PART).max(1.0),
            promised: 0.0,
            level: 0.0,
            at: Duration::ZERO,
        }
    }

    /// Notes bytes that were sent.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::link_meter::LinkMeter;
    ///
    /// let mut link = LinkMeter::new(8.0);
    /// link.sent(Duration::ZERO, 900_000);
    /// assert_eq!(link.wait(Duration::ZERO), Duration::from_secs(1));
    /// assert_eq!(link.wait(Duration::from_secs(1)), Duration::ZERO);
    /// ```
    pub fn sent(&mut self, now: Duration, bytes: u64) {
        self.level = self.level_at(now) + bytes as f64;
        self.at = self.at.max(now);
    }

    /// Returns how long a further byte would wait.
    pub fn wait(&self, now: Duration) -> Duration {
        Duration::from_secs_f64((self.promised + self.level_at(now)) / self.bytes_per_s)
    }

    fn level_at(&self, now: Duration) -> f64 {
        let drained = now.saturating_sub(self.at).as_secs_f64() * self.bytes_per_s;
        (self.level - drained).max(0.0)
    }
}

/// Bytes of an answer that the link was promised for; what isn't sent is taken
/// back when dropped.
#[derive(Debug)]
pub struct LinkPromise {
    link: Rc<RefCell<LinkMeter>>,
    bytes: u64,
}

impl LinkPromise {
    /// Promises the link for `bytes`.
    pub fn new(link: &Rc<RefCell<LinkMeter>>, bytes: u64) -> Self {
        link.borrow_mut().promised += bytes as f64;
        Self {
            link: Rc::clone(link),
            bytes,
        }
    }

    /// Notes bytes of the answer that were sent.
    pub fn sent(&mut self, now: Duration, bytes: u64) {
        let kept = bytes.min(self.bytes);
        self.bytes -= kept;
        let mut link = self.link.borrow_mut();
        link.promised = (link.promised - kept as f64).max(0.0);
        link.sent(now, bytes);
    }
}

impl Drop for LinkPromise {
    fn drop(&mut self) {
        let mut link = self.link.borrow_mut();
        link.promised = (link.promised - self.bytes as f64).max(0.0);
    }
}
