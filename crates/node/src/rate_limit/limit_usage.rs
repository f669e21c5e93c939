//! Requests that a backend server with a limit got.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// Requests passed on to the local backend server since the last report.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LimitUsage {
    since: Duration,
    /// Number of requests that were sent to the backend server.
    pub sent: u32,
    /// How many of these are nested calls of runs that had begun.
    pub nested: u32,
    /// How many of these had waited in the queue.
    pub waited: u32,
    /// Number of requests by the node that sent them; none for callers on this instance.
    senders: HashMap<Option<SocketAddr>, u32>,
}

impl LimitUsage {
    /// Counts a request that is passed on to the backend server.
    pub fn record_sent(&mut self, sender: Option<SocketAddr>, is_nested: bool, has_waited: bool) {
        self.sent += 1;
        self.nested += u32::from(is_nested);
        self.waited += u32::from(has_waited);
        *self.senders.entry(sender).or_default() += 1;
    }

    /// Returns the number of nodes that sent requests, this one included.
    pub fn sender_count(&self) -> usize {
        self.senders.len()
    }

    /// Returns the largest number of requests from one node.
    pub fn most_from_one_sender(&self) -> u32 {
        self.senders.values().copied().max().unwrap_or(0)
    }

    /// Takes the counts if they cover at least `length`, and starts counting from zero. Returns
    /// them with the time that they cover.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::rate_limit::LimitUsage;
    ///
    /// let mut usage = LimitUsage::default();
    /// usage.record_sent(None, false, false);
    /// let second = Duration::from_secs(1);
    /// assert!(usage.take_after(Duration::from_millis(900), second).is_none());
    /// let (taken, _time) = usage.take_after(Duration::from_millis(1_100), second).unwrap();
    /// assert_eq!((taken.sent, taken.sender_count()), (1, 1));
    /// assert_eq!(usage.sent, 0);
    /// ```
    pub fn take_after(&mut self, now: Duration, length: Duration) -> Option<(Self, Duration)> {
        let time = now.saturating_sub(self.since);
        if time < length {
            return None;
        }
        let next = Self {
            since: now,
            ..Self::default()
        };
        Some((std::mem::replace(self, next), time))
    }
}
