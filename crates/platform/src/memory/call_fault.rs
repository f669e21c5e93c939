//! Ways in which one call can fail.

/// How a scripted call fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// The connection is refused: certainly no effect.
    Refuse,
    /// A write takes effect and its answer is lost.
    LoseAnswer,
    /// A write is lost on its way, which the caller can't tell from a lost
    /// answer.
    LoseRequest,
    /// The answer is lost and the write takes effect one call later.
    LandLate,
}
