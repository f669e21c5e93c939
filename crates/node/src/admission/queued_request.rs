//! Requests that wait in the admission queue.

use std::time::Duration;

use super::{FlowRequest, QueueKey, route_statistics::RankedRoute};

/// A request that waits for a slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedRequest {
    pub(super) route: RankedRoute,
    pub(super) flow_request: FlowRequest,
    /// Run time that was expected on arrival.
    pub(super) run_time: Duration,
    pub(super) late: bool,
    /// Time until which a response is of use.
    pub(super) useful_until: Duration,
    /// Time until which the request waits.
    pub(super) latest: Duration,
    /// Longest time that the requests before this one may be expected to take.
    pub(super) longest_plan: Duration,
    pub(super) requested_at: Duration,
    /// Wait that was expected on arrival if no later request overtook this one.
    pub(super) planned_wait: Duration,
}

/// Position of a request that is to wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedWait {
    pub(super) key: QueueKey,
    pub(super) queued: QueuedRequest,
}
