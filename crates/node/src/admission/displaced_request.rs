//! Queued requests that are refused before their time.

use std::time::Duration;

use super::QueueKey;

/// A queued request that can't start in time any more, and is to be refused at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DisplacedRequest {
    /// Position that the request had.
    pub key: QueueKey,
    /// Time after which the queue is expected to accept a request.
    pub retry_after: Duration,
}
