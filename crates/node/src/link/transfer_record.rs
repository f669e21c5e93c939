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
    pub request: Option<HeaderValue>,
    /// When the link was promised.
    pub asked_at: Duration,
    /// What it was promised for.
    pub offer: LinkRequest,
    /// Real bytes, if its head told them.
    pub bytes: Option<u64>,
    /// When the answer was made.
    pub made_at: Option<Duration>,
    /// When its first bytes were handed over.
    pub begun_at: Option<Duration>,
    /// When its last bytes so far were handed over.
    pub sent_at: Option<Duration>,
    /// Bytes handed over so far.
    pub sent: u64,
    /// Whether its last byte was handed over.
    pub is_whole: bool,
    /// When it was put behind those that can be in time.
    pub postponed_at: Option<Duration>,
}

impl TransferRecord {
    /// Begins with a promise.
    pub const fn new(request: Option<HeaderValue>, asked_at: Duration, offer: LinkRequest) -> Self {
        Self {
            request,
            asked_at,
            offer,
            bytes: None,
            made_at: None,
            begun_at: None,
            sent_at: None,
            sent: 0,
            is_whole: false,
            postponed_at: None,
        }
    }

    /// Takes in that the answer was made, and its bytes if its head told them.
    pub fn made(&mut self, now: Duration, bytes: Option<u64>) {
        self.made_at = Some(now);
        self.bytes = bytes;
    }

    /// Takes in that bytes were handed over.
    pub fn sent(&mut self, now: Duration, bytes: u64) {
        self.begun_at.get_or_insert(now);
        self.sent_at = Some(now);
        self.sent += bytes;
    }

    /// Returns how it ended, when nothing more comes of it.
    pub fn end(&self) -> TransferOutcome {
        let in_time = self.sent_at <= Some(self.offer.target_deadline);
        match (self.made_at, self.is_whole) {
            (None, _) => TransferOutcome::Unmade,
            (Some(_), false) => TransferOutcome::Cut,
            (Some(_), true) if in_time => TransferOutcome::InTime,
            (Some(_), true) => TransferOutcome::Late,
        }
    }

    /// Returns the milliseconds from the promise to `at`.
    pub fn millis(&self, at: Option<Duration>) -> Option<u64> {
        at.map(|at| at.saturating_sub(self.asked_at).as_millis() as u64)
    }
}
