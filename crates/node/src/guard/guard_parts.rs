//! What a guard is made of.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::{Duration, Instant},
};

use crossbeam::channel::{Receiver, Sender};
use geranium_model::{CrashRow, Incarnation, InstanceName};
use slog::Logger;

use super::{GuardEvent, StreamTable, canceller::CancelOrder};
use crate::metrics::NodeMetrics;

/// Rings, shared tables and settings of a [`GuardLoop`](super::GuardLoop).
#[derive(Debug)]
pub struct GuardParts {
    /// Own instance.
    pub instance: InstanceName,
    /// Start of this node process.
    pub started: Incarnation,
    /// Origin of the monotonic clock.
    pub origin: Instant,
    /// Time without progress after which a stream is ended.
    pub stall_timeout: Duration,
    /// Events.
    pub events: Receiver<GuardEvent>,
    /// The same ring, for the workers.
    pub results: Sender<GuardEvent>,
    /// Crashes to spread.
    pub crashes: Sender<CrashRow>,
    /// Cancellations for the backend server.
    pub cancels: Sender<CancelOrder>,
    /// Set while requests wait or run.
    pub busy: Arc<AtomicBool>,
    /// Streams of this node.
    pub streams: Arc<StreamTable>,
    /// Metrics.
    pub metrics: Arc<NodeMetrics>,
    /// Log.
    pub log: Logger,
}
