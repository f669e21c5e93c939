//! What the workers of one target share.

use std::{sync::Mutex, sync::PoisonError, time::Instant};

use crate::{Arrival, ArrivalSchedule, LoadPlan, call_sender::CallSender};

/// The schedule of one target, and the connections to it.
///
/// Workers share connections, so that there are no more of them than requests
/// under way, as many as callers of their own would have.
#[derive(Debug)]
pub(crate) struct TargetGroup {
    pub(crate) started: Instant,
    pub(crate) sender: CallSender,
    schedule: Mutex<ArrivalSchedule>,
}

impl TargetGroup {
    pub(crate) fn new(plan: &LoadPlan, target: usize, started: Instant) -> Self {
        Self {
            started,
            sender: CallSender::new(started),
            schedule: Mutex::new(ArrivalSchedule::at_target(plan, target)),
        }
    }

    /// Returns the next arrival at the target.
    pub(crate) fn next(&self) -> Option<Arrival> {
        let mut schedule = self.schedule.lock().unwrap_or_else(PoisonError::into_inner);
        schedule.next()
    }
}
