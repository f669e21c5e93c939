//! Tracks the limit that a start of a backend server names.

use std::time::Duration;

use super::{LimitNotice, RequestRate};

/// When a response was requested and received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExchangeTimes {
    /// When the request was sent.
    pub sent_at: Duration,
    /// When the head of the response arrived.
    pub received_at: Duration,
}

/// Tracks the limit that one start of a backend server names.
///
/// Responses overtake each other: one that was produced before a limit was named may arrive after
/// it. A response therefore tightens the limit at once, but loosens it only if its request was sent
/// after the last response that named the present limit or a tighter one.
///
/// A value that isn't a rate changes nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LimitTracker {
    limit: Option<RequestRate>,
    /// When the present limit was last named.
    named_at: Duration,
    /// Whether a response has been observed.
    has_observed: bool,
}

impl LimitTracker {
    /// Returns the limit in force; none if there is none.
    pub const fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    /// Processes what a response says, and returns the limit that is now in force.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::rate_limit::{ExchangeTimes, LimitNotice, LimitTracker, RequestRate};
    ///
    /// let at = |sent, received| ExchangeTimes {
    ///     sent_at: Duration::from_millis(sent),
    ///     received_at: Duration::from_millis(received),
    /// };
    /// let mut tracker = LimitTracker::default();
    /// let rate = RequestRate::from_millis(12_000);
    /// assert_eq!(tracker.observe(at(0, 100), LimitNotice::Limited(rate)), Some(rate));
    /// assert_eq!(tracker.observe(at(50, 150), LimitNotice::Unlimited), Some(rate));
    /// assert_eq!(tracker.observe(at(110, 200), LimitNotice::Unlimited), None);
    /// ```
    pub fn observe(&mut self, times: ExchangeTimes, notice: LimitNotice) -> Option<RequestRate> {
        let named = match notice {
            LimitNotice::Malformed => return self.limit,
            LimitNotice::Limited(rate) => Some(rate),
            LimitNotice::Unlimited => None,
        };
        self.has_observed = true;
        if is_looser(named, self.limit) && times.sent_at < self.named_at {
            return self.limit;
        }
        self.limit = named;
        self.named_at = times.received_at;
        self.limit
    }

    /// Adopts the limit that another node knows, until a response says otherwise.
    ///
    /// Returns whether it was adopted. A process that has seen a response of the backend server
    /// knows better.
    pub const fn adopt_hint(&mut self, rate: RequestRate) -> bool {
        if self.has_observed || self.limit.is_some() {
            return false;
        }
        self.limit = Some(rate);
        true
    }
}

/// Whether `next` allows more than `present`.
fn is_looser(next: Option<RequestRate>, present: Option<RequestRate>) -> bool {
    match (next, present) {
        (None, Some(_)) => true,
        (Some(next), Some(present)) => next > present,
        (_, None) => false,
    }
}
