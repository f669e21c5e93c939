//! Figures of a gate, for metrics and for other nodes.

/// State of a gate at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GateGauge {
    /// Jobs at the backend server.
    pub running: u32,
    /// Jobs that wait.
    pub waiting: u32,
    /// Slots in use at most, as adapted to the backend server's speed.
    pub limit: u32,
    /// Jobs a second that leave the queue to run; 0 before the first was
    /// measured.
    pub drain_rate: f64,
}
