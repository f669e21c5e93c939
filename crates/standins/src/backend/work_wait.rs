//! Doing a request's work, which for the stand-in is waiting.

use std::time::{Duration, Instant};

use super::{RequestDirections, call_head::CallHead, running_set::Cancellation};

/// A late answer comes this long after its deadline.
const LATE_BY: Duration = Duration::from_millis(100);

/// How work ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WorkEnd {
    Done,
    GivenUp,
}

/// Works for `work`, or until the run is cancelled or past its deadline.
pub(super) fn work_through(
    work: Duration,
    call: &CallHead,
    directions: &RequestDirections,
    cancellation: &Cancellation,
) -> WorkEnd {
    if directions.late {
        let past = call.deadline.map(|deadline| deadline + LATE_BY);
        let left = past.map(|past| past.saturating_duration_since(Instant::now()));
        std::thread::sleep(left.unwrap_or_default().max(work));
        return WorkEnd::Done;
    }
    if work.is_zero() {
        return WorkEnd::Done;
    }
    let finish = Instant::now() + work;
    let until = call
        .deadline
        .map_or(finish, |deadline| deadline.min(finish));
    let cancelled = cancellation.wake().recv_deadline(until).is_ok();
    if cancelled || until < finish {
        WorkEnd::GivenUp
    } else {
        WorkEnd::Done
    }
}
