//! Limits on the memory of request bodies.

/// Bytes of a megabyte.
const MB: u64 = 1_000_000;
/// Memory that a node keeps for all but bodies, as a share of the instance's.
const RESERVED_SHARE: f64 = 0.3;
/// Smallest memory that a node keeps for all but bodies, in bytes.
const RESERVED_MIN_BYTES: u64 = 32_000_000;
/// Part of the memory for bodies that only small bodies may take, as a divisor.
const SMALL_ONLY_DIVISOR: u64 = 8;

/// Limits on the memory of request bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Memory for all bodies together, in bytes.
    pub all_bytes: u64,
    /// Memory up to which large bodies may fill that for all, in bytes.
    pub large_bytes: u64,
}

impl MemoryLimits {
    /// Creates the limits of a node with `all_bytes` of memory for bodies.
    pub const fn new(all_bytes: u64) -> Self {
        Self {
            all_bytes,
            large_bytes: all_bytes - all_bytes / SMALL_ONLY_DIVISOR,
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
        Self::new(instance_bytes.saturating_sub(share.max(RESERVED_MIN_BYTES)))
    }
}
