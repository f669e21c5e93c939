//! Limits on the memory of request bodies.

use super::{INTAKE_BYTES, SEGMENT_MAX_BYTES};

/// Bytes of a megabyte.
const MB: u64 = 1_000_000;
/// Memory that a node keeps for all but bodies, as a share of the instance's.
const RESERVED_SHARE: f64 = 0.3;
/// Smallest memory that a node keeps for all but bodies, in bytes.
const RESERVED_MIN_BYTES: u64 = 32 * MB;
/// Memory that a node needs without any bodies, in bytes.
const PROCESS_BYTES: u64 = 19 * MB;
/// Part of the memory for bodies that only small bodies may take, as a divisor.
const SMALL_ONLY_DIVISOR: u64 = 8;
/// Memory for small bodies beside one of the largest size, in bytes.
const SMALL_ONLY_MIN_BYTES: u64 = MB;
/// Memory of a body beside its bytes: that of an arriving one, and the unused part of its last segment.
const BODY_OVERHEAD_BYTES: u64 = INTAKE_BYTES + SEGMENT_MAX_BYTES as u64;

/// Limits on the memory of request bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Memory for all bodies together, in bytes.
    pub all_bytes: u64,
    /// Memory up to which large bodies may fill that for all, in bytes.
    pub large_bytes: u64,
    /// Memory for all bodies that the process can bear, in bytes.
    bearable_bytes: u64,
}

impl MemoryLimits {
    /// Creates the limits of a node with `all_bytes` of memory for bodies.
    pub const fn new(all_bytes: u64) -> Self {
        Self {
            all_bytes,
            large_bytes: all_bytes - all_bytes / SMALL_ONLY_DIVISOR,
            bearable_bytes: all_bytes,
        }
    }

    /// Returns the limits of a node with `megabytes` of memory for bodies.
    pub const fn of_megabytes(megabytes: u32) -> Self {
        Self::new(megabytes as u64 * MB)
    }

    /// Returns the limits of a node on an instance with `megabytes` of memory.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::request_body::MemoryLimits;
    ///
    /// let limits = MemoryLimits::of_instance(260);
    /// assert_eq!(limits.all_bytes, 182_000_000);
    /// ```
    pub fn of_instance(megabytes: u32) -> Self {
        let instance_bytes = u64::from(megabytes) * MB;
        let share = (instance_bytes as f64 * RESERVED_SHARE) as u64;
        let all_bytes = instance_bytes.saturating_sub(share.max(RESERVED_MIN_BYTES));
        Self {
            bearable_bytes: all_bytes.max(instance_bytes.saturating_sub(PROCESS_BYTES)),
            ..Self::new(all_bytes)
        }
    }

    /// Returns the limits with room for one body of the largest size, if the process can bear it.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::request_body::MemoryLimits;
    ///
    /// let limits = MemoryLimits::of_instance(100);
    /// assert_eq!(limits.all_bytes, 68_000_000);
    /// assert!(limits.with_room_for(70_000_000).large_bytes > 70_000_000);
    /// assert_eq!(limits.with_room_for(1_000_000), limits);
    /// assert_eq!(limits.with_room_for(90_000_000), limits);
    /// ```
    #[must_use]
    pub fn with_room_for(self, body_bytes: u64) -> Self {
        let large_bytes = body_bytes.saturating_add(BODY_OVERHEAD_BYTES);
        let all_bytes = large_bytes.saturating_add(SMALL_ONLY_MIN_BYTES);
        if all_bytes > self.bearable_bytes {
            return self;
        }
        Self {
            all_bytes: self.all_bytes.max(all_bytes),
            large_bytes: self.large_bytes.max(large_bytes),
            ..self
        }
    }
}
