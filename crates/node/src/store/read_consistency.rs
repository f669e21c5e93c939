//! How old what is read may be.

/// How old what is read may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadConsistency {
    /// As it is now.
    Linearizable,
    /// As it was some seconds ago, at a tenth of the price. The revision that
    /// comes with it is the highest that was read: a watch from there misses
    /// nothing, and may begin before the history that the store keeps.
    Serializable,
}
