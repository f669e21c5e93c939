//! Decisions about requests to be admitted.

use std::time::Duration;

use super::QueueKey;

/// Decision of the queue about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request runs now.
    Run,
    /// Every slot is taken, and the request may not wait.
    Busy,
    /// The request waits, and is to be refused if it still does at `latest`.
    Wait {
        /// Position in the queue, by which the request is granted a slot or withdrawn.
        key: QueueKey,
        /// Latest time at which starting the request is of use.
        latest: Duration,
    },
    /// The response could not arrive in time; the request hasn't run.
    Refuse {
        /// Time after which the queue is expected to accept a request.
        retry_after: Duration,
    },
}
