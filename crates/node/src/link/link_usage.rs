//! What a link carried in a while, and what became of the long answers.

use std::time::Duration;

use strum::{EnumCount, VariantArray};

use super::{LinkTraffic, TransferOutcome};

/// What a link carried since the last look, and what became of the long answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkUsage {
    since: Duration,
    bytes: [u64; LinkTraffic::COUNT],
    outcomes: [u32; TransferOutcome::COUNT],
    /// Long answers that were promised the link.
    pub reserved: u32,
    /// Long answers that were refused it.
    pub refused: u32,
}

impl LinkUsage {
    /// Counts bytes that were handed over.
    pub fn record_sent(&mut self, traffic: LinkTraffic, bytes: u64) {
        self.bytes[traffic as usize] += bytes;
    }

    /// Counts a long answer that ended.
    pub fn record_outcome(&mut self, outcome: TransferOutcome) {
        self.outcomes[outcome as usize] += 1;
    }

    /// Returns the bytes for one purpose.
    pub const fn bytes(&self, traffic: LinkTraffic) -> u64 {
        self.bytes[traffic as usize]
    }

    /// Returns the bytes for all purposes.
    pub fn total_bytes(&self) -> u64 {
        LinkTraffic::VARIANTS
            .iter()
            .map(|&traffic| self.bytes(traffic))
            .sum()
    }

    /// Returns how many long answers ended so.
    pub const fn outcomes(&self, outcome: TransferOutcome) -> u32 {
        self.outcomes[outcome as usize]
    }

    /// Takes what was counted for `length` or longer, and begins anew.
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
