//! What became of a job that was cancelled.

/// State in which a cancellation found its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum JobCancel {
    /// It was waiting; the gate forgot it, and no decision on it will follow.
    Withdrawn,
    /// It is running (or its `Run` is due at the next poll) and holds its slot
    /// until [`finish`](super::AdmissionGate::finish).
    Running,
    /// The gate holds no such job.
    Unknown,
}
