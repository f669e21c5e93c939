//! Key of a lane.

/// Key of a lane within its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LaneKey(u8);

impl LaneKey {
    /// Key of the only lane of a caller without pipelining.
    pub const FIRST: Self = Self(0);

    /// Returns the key of the lane at a position below 256.
    pub const fn new(index: usize) -> Self {
        Self(index as u8)
    }

    /// Returns the position of the lane.
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}
