//! Record of one long response for which the link was reserved.

use std::time::Duration;

use http::HeaderValue;
use strum::{Display, EnumCount, IntoStaticStr, VariantArray};

use super::ReservationRequest;

/// Outcome of a long response for which the link was reserved.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumCount, IntoStaticStr, VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum TransferOutcome {
    /// The complete response was sent by its target time.
    InTime,
    /// The complete response was sent after its target time.
    Late,
    /// The response was ready, but broke off before its last byte was sent.
    Cut,
    /// The response never became ready: its request was refused later, failed, or was cancelled.
    Unmade,
}

/// Record of one long response for which the link was reserved.
#[derive(Debug, Clone)]
pub struct TransferRecord {
    /// Identifier of the request, for the log.
    pub request_id: Option<HeaderValue>,
    /// Time at which the link was requested.
    pub requested_at: Duration,
    /// Request for which the link was reserved.
    pub reservation_request: ReservationRequest,
    /// Actual size in bytes; `None` unless the response's head gave one.
    pub bytes: Option<u64>,
    /// Time at which the response was ready; none before.
    pub response_ready_at: Option<Duration>,
    /// Time at which the first bytes were sent; none before.
    pub started_at: Option<Duration>,
    /// Time at which the most recent bytes were sent; none before the first ones.
    pub last_sent_at: Option<Duration>,
    /// Number of bytes sent so far.
    pub sent: u64,
    /// Whether the last byte was sent.
    pub is_complete: bool,
    /// Time at which the transfer was moved behind those that can be in time; none before.
    pub postponed_at: Option<Duration>,
}

impl TransferRecord {
    /// Creates the record of a new reservation.
    pub const fn new(
        request_id: Option<HeaderValue>,
        requested_at: Duration,
        reservation_request: ReservationRequest,
    ) -> Self {
        Self {
            request_id,
            requested_at,
            reservation_request,
            bytes: None,
            response_ready_at: None,
            started_at: None,
            last_sent_at: None,
            sent: 0,
            is_complete: false,
            postponed_at: None,
        }
    }

    /// Records that the response is ready, and its size in bytes if the head gives one.
    pub fn record_response_ready(&mut self, now: Duration, bytes: Option<u64>) {
        self.response_ready_at = Some(now);
        self.bytes = bytes;
    }

    /// Records sent bytes.
    pub fn record_sent(&mut self, now: Duration, bytes: u64) {
        self.started_at.get_or_insert(now);
        self.last_sent_at = Some(now);
        self.sent += bytes;
    }

    /// Returns the outcome, given that nothing more is sent.
    pub fn outcome(&self) -> TransferOutcome {
        let in_time = self.last_sent_at <= Some(self.reservation_request.target_deadline);
        match (self.response_ready_at, self.is_complete) {
            (None, _) => TransferOutcome::Unmade,
            (Some(_), false) => TransferOutcome::Cut,
            (Some(_), true) if in_time => TransferOutcome::InTime,
            (Some(_), true) => TransferOutcome::Late,
        }
    }

    /// Returns the milliseconds from the reservation request to `at`; none if `at` is none.
    pub fn millis_since_request(&self, at: Option<Duration>) -> Option<u64> {
        at.map(|at| at.saturating_sub(self.requested_at).as_millis() as u64)
    }
}
