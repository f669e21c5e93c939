//! Counts of what the core did, for metrics.

use strum::{EnumCount, VariantNames};

use crate::ControlMessage;

/// Monotonic counts since the node's start.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetCounters {
    /// Messages sent, by kind in the order of [`FleetCounters::kinds`].
    pub sent: [u64; ControlMessage::COUNT],
    /// Bytes sent, by kind, without envelopes and framing.
    pub sent_bytes: [u64; ControlMessage::COUNT],
    /// Messages received, by kind.
    pub received: [u64; ControlMessage::COUNT],
    /// Bytes received, by kind.
    pub received_bytes: [u64; ControlMessage::COUNT],
    /// Platform calls made, besides watches.
    pub platform_calls: u64,
    /// Watches started.
    pub platform_watches: u64,
    /// Platform calls that failed.
    pub platform_failures: u64,
    /// Versions refused for being no higher than the one in force.
    pub stale_versions: u64,
    /// Versions refused for having another content than the one in force.
    pub split_versions: u64,
    /// Documents refused by a check.
    pub bad_documents: u64,
    /// Deltas that couldn't be applied to the preset in force.
    pub missed_deltas: u64,
    /// Suspicions of this node that it refuted.
    pub refuted: u64,
    /// Members that this node suspected.
    pub suspected: u64,
    /// Repair answers withheld by the rate cap.
    pub repairs_withheld: u64,
}

impl FleetCounters {
    /// Returns the names of the message kinds, in counting order.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_spread::FleetCounters;
    ///
    /// assert_eq!(FleetCounters::kinds()[0], "digest");
    /// ```
    pub const fn kinds() -> &'static [&'static str] {
        ControlMessage::VARIANTS
    }
}

/// Returns the place of a message's kind in the counts.
pub(crate) fn kind_index(message: &ControlMessage) -> usize {
    let name: &'static str = message.into();
    ControlMessage::VARIANTS
        .iter()
        .position(|kind| *kind == name)
        .unwrap_or_default()
}
