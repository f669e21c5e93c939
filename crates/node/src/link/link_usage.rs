//! Usage of a link during one reporting interval.

use std::time::Duration;

use strum::{EnumCount, VariantArray};

use super::{LinkTraffic, TransferOutcome};

/// Bytes sent to a link since the last report, and outcomes of long responses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkUsage {
    since: Duration,
    bytes: [u64; LinkTraffic::COUNT],
    /// Number of ended long responses by outcome.
    outcome_counts: [u32; TransferOutcome::COUNT],
    /// Number of long responses for which the link was reserved.
    pub reserved: u32,
    /// Number of long responses for which a reservation was refused.
    pub refused: u32,
}

impl LinkUsage {
    /// Adds sent bytes.
    pub fn record_sent(&mut self, traffic: LinkTraffic, bytes: u64) {
        self.bytes[traffic as usize] += bytes;
    }

    /// Counts a long response that ended.
    pub fn record_outcome(&mut self, outcome: TransferOutcome) {
        self.outcome_counts[outcome as usize] += 1;
    }

    /// Returns the bytes of one kind of traffic.
    pub const fn bytes(&self, traffic: LinkTraffic) -> u64 {
        self.bytes[traffic as usize]
    }

    /// Returns the bytes of all kinds of traffic.
    pub fn total_bytes(&self) -> u64 {
        LinkTraffic::VARIANTS
            .iter()
            .map(|&traffic| self.bytes(traffic))
            .sum()
    }

    /// Returns how many long responses had this outcome.
    pub const fn outcome_count(&self, outcome: TransferOutcome) -> u32 {
        self.outcome_counts[outcome as usize]
    }

    /// Takes the counts if they cover at least `length`, and starts counting from zero. Returns
    /// them with the time that they cover.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::link::{LinkUsage, LinkTraffic};
    ///
    /// let mut usage = LinkUsage::default();
    /// usage.record_sent(LinkTraffic::Short, 500);
    /// let second = Duration::from_secs(1);
    /// assert!(usage.take_after(Duration::from_millis(900), second).is_none());
    /// let (taken, time) = usage.take_after(Duration::from_millis(1_100), second).unwrap();
    /// assert_eq!((taken.total_bytes(), time), (500, Duration::from_millis(1_100)));
    /// assert_eq!(usage.total_bytes(), 0);
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
