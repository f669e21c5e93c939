//! Consistency of reads.

/// Consistency of a read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadConsistency {
    /// The read returns the latest state.
    Linearizable,
    /// The read may return a state some seconds old, at a tenth of the cost.
    ///
    /// Its revision is the highest among the items read. A watch from there misses no
    /// change, but may begin before the history that the store keeps.
    Serializable,
}
