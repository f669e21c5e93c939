//! What became of one long answer that was promised the link.

use std::time::Duration;

use http::HeaderValue;
use strum::{Display, EnumCount, IntoStaticStr, VariantArray};

use super::LinkRequest;

/// How a long answer that was promised the link ended.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumCount, IntoStaticStr, VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum TransferOutcome {
    /// All of it was handed over while it was of full use.
    InTime,
    /// All of it was handed over, later.
    Late,
    /// It was made, and broke off before its last byte was handed over.
    Cut,
    /// It was never made: refused afterwards, failed, or its caller left.
    Unmade,
}

/// What became of one long answer that was promised the link.
#[derive(Debug, Clone)]
pub struct TransferRecord {
    /// Identifier of the request, for the log.
    pub request_id: Option<HeaderValue>,
    /// When the link was promised.
    pub requested_at: Duration,
    /// What it was promised for.
    pub link_request: LinkRequest,
    /// Real bytes, if its head told them.
    pub bytes: Option<u64>,
    /// When the answer was made.
    pub response_ready_at: Option<Duration>,
    /// When its first bytes were handed over.
    pub started_at: Option<Duration>,
    /// When its last bytes so far were handed over.
    pub sent_at: Option<Duration>,
    /// Bytes handed over so far.
    pub sent: u64,
    /// Whether its last byte was handed over.
    pub is_complete: bool,
    /// When it was put behind those that can be in time.
    pub postponed_at: Option<Duration>,
}

impl TransferRecord {
    /// Begins with a promise.
    pub const fn new(
        request_id: Option<HeaderValue>,
        requested_at: Duration,
        link_request: LinkRequest,
    ) -> Self {
        Self {
            request_id,
            requested_at,
            link_request,
            bytes: None,
            response_ready_at: None,
            started_at: None,
            sent_at: None,
            sent: 0,
            is_complete: false,
            postponed_at: None,
        }
    }

    /// Takes in that the answer was made, and its bytes if its head told them.
    pub fn response_ready(&mut self, now: Duration, bytes: Option<u64>) {
        self.response_ready_at = Some(now);
        self.bytes = bytes;
    }

    /// Takes in that bytes were handed over.
    pub fn record_sent(&mut self, now: Duration, bytes: u64) {
        self.started_at.get_or_insert(now);
        self.sent_at = Some(now);
        self.sent += bytes;
    }

    /// Returns how it ended, when nothing more comes of it.
    pub fn outcome(&self) -> TransferOutcome {
        let in_time = self.sent_at <= Some(self.link_request.useful_until);
        match (self.response_ready_at, self.is_complete) {
            (None, _) => TransferOutcome::Unmade,
            (Some(_), false) => TransferOutcome::Cut,
            (Some(_), true) if in_time => TransferOutcome::InTime,
            (Some(_), true) => TransferOutcome::Late,
        }
    }

    /// Returns the milliseconds from the promise to `at`.
    pub fn millis_since_request(&self, at: Option<Duration>) -> Option<u64> {
        at.map(|at| at.saturating_sub(self.requested_at).as_millis() as u64)
    }
}
