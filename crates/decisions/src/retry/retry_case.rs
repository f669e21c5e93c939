//! What is known about a try that failed.

use std::time::Duration;

use geranium_model::Outcome;

/// A failed try, as [`RetryRule::decide`] needs it.
///
/// [`RetryRule::decide`]: super::RetryRule::decide
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryCase {
    /// What is known about whether it ran.
    pub outcome: Outcome,
    /// The request may run more than once without harm.
    pub idempotent: bool,
    /// Hops behind the request; only the first hop, 0, retries.
    pub hops: u8,
    /// Tries made so far, from 1.
    pub tries: u8,
    /// The request was running when a backend server crashed.
    pub suspect: bool,
    /// A live backend server is left that hasn't been tried.
    pub untried: bool,
    /// Time left until the deadline.
    pub left: Duration,
    /// Time that one try usually takes.
    pub expected: Duration,
}
