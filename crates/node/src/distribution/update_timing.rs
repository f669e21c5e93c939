//! Times of update requests, by when a configuration has to be in force everywhere.

use std::time::Duration;

/// Longest wait of an update request. The response tells the age of the relay's last contact with
/// the store.
const POLL_WAIT_MAX: Duration = Duration::from_secs(2);
/// Longest wait where proofs of freshness are needed. A relay has a new one each second.
const PROOF_WAIT_MAX: Duration = Duration::from_millis(1_200);
/// Longest wait of a node that has no configuration, and refuses its callers meanwhile.
const FIRST_WAIT_MAX: Duration = Duration::from_millis(400);
/// Longest time after the wait within which the response has to arrive.
const RESPONSE_MARGIN_MAX: Duration = Duration::from_millis(1_200);
/// Longest time that the relay has to send a newer configuration before another node is asked.
const HEAD_START_MAX: Duration = Duration::from_millis(700);

/// Wait of an update request, as a share of the configuration time.
const POLL_WAIT_SHARE: f64 = 0.35;
/// Time after the wait from which a response is overdue, as a share of the configuration time.
const OVERDUE_SHARE: f64 = 0.15;
/// Time after the wait from which the relay has failed, as a share of the configuration time.
const RESPONSE_MARGIN_SHARE: f64 = 0.25;
/// Head start of the relay, as a share of the configuration time.
const HEAD_START_SHARE: f64 = 0.2;

/// Times of update requests.
///
/// A configuration has to be in force everywhere some time after its acknowledgment, the
/// configuration time. A relay may hang just as the configuration changes. Its followers notice
/// that by an overdue response, so every time of the way to the next source is a share of the
/// configuration time: wait, margin, and a call to the next source together stay below it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_node::distribution::UpdateTiming;
///
/// let config_time = Duration::from_secs(2);
/// let timing = UpdateTiming::new(config_time);
/// assert!(timing.poll_wait + timing.overdue_after < config_time.mul_f64(0.6));
/// assert!(timing.poll_wait + timing.response_margin < config_time.mul_f64(0.7));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpdateTiming {
    /// Longest time that a relay holds a request while it has no update.
    pub poll_wait: Duration,
    /// The same where proofs of freshness are needed.
    pub proof_wait: Duration,
    /// The same while the requesting node has no configuration.
    pub first_wait: Duration,
    /// Time after the wait from which the store is asked beside the relay.
    pub overdue_after: Duration,
    /// Time after the wait within which the response has to arrive.
    pub response_margin: Duration,
    /// Time that the relay has to send a newer configuration before another node is asked.
    pub head_start: Duration,
}

impl UpdateTiming {
    /// Returns the times for a fleet whose configurations are in force after `config_time`.
    pub fn new(config_time: Duration) -> Self {
        let poll_wait = config_time.mul_f64(POLL_WAIT_SHARE).min(POLL_WAIT_MAX);
        let response_margin = config_time
            .mul_f64(RESPONSE_MARGIN_SHARE)
            .min(RESPONSE_MARGIN_MAX);
        let overdue_after = config_time.mul_f64(OVERDUE_SHARE).min(response_margin);
        Self {
            poll_wait,
            proof_wait: poll_wait.min(PROOF_WAIT_MAX),
            first_wait: poll_wait.min(FIRST_WAIT_MAX),
            overdue_after,
            response_margin,
            head_start: config_time.mul_f64(HEAD_START_SHARE).min(HEAD_START_MAX),
        }
    }
}
