//! The rule itself.

use std::time::Duration;

use geranium_model::Outcome;
use rand::{Rng, RngExt};

use super::{RetryBudget, RetryCase, RetryDecision};

/// Most tries of one request, the first included. A third backend server that
/// fails too says the fault isn't with one server.
const TRIES_MAX: u8 = 3;
/// Longest wait before the first retry. It goes to another backend server, so
/// it only has to part requests that failed together.
const BACKOFF_FIRST: Duration = Duration::from_millis(10);

/// Decides about retries.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryRule;

impl RetryRule {
    /// Decides whether a failed try is followed by another.
    ///
    /// A retry is paid for out of `budget`. The wait is drawn evenly from zero
    /// to a bound that doubles with each try.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_decisions::retry::{RetryBudget, RetryCase, RetryDecision, RetryRule};
    /// use geranium_model::Outcome;
    ///
    /// let refused = RetryCase {
    ///     outcome: Outcome::NotRun,
    ///     idempotent: false,
    ///     hops: 0,
    ///     tries: 1,
    ///     suspect: false,
    ///     untried: true,
    ///     left: Duration::from_millis(500),
    ///     expected: Duration::from_millis(20),
    /// };
    /// let mut budget = RetryBudget::new(0.1);
    /// let decision = RetryRule.decide(&refused, &mut budget, &mut rand::rng());
    /// assert!(matches!(decision, RetryDecision::Retry { .. }));
    /// let deeper = RetryCase { hops: 1, ..refused };
    /// let decision = RetryRule.decide(&deeper, &mut budget, &mut rand::rng());
    /// assert_eq!(decision, RetryDecision::Final);
    /// ```
    pub fn decide(
        self,
        case: &RetryCase,
        budget: &mut RetryBudget,
        rng: &mut impl Rng,
    ) -> RetryDecision {
        let after = backoff(case.tries, rng);
        let in_time = case.left >= after + case.expected;
        if allowed(case) && in_time && budget.withdraw() {
            RetryDecision::Retry { after }
        } else {
            RetryDecision::Final
        }
    }
}

fn allowed(case: &RetryCase) -> bool {
    let harmless = match case.outcome {
        Outcome::NotRun => true,
        Outcome::MaybeRun => case.idempotent,
        Outcome::Ran => false,
    };
    let elsewhere = case.untried && case.tries < TRIES_MAX;
    harmless && !case.suspect && case.hops == 0 && elsewhere
}

fn backoff(tries: u8, rng: &mut impl Rng) -> Duration {
    let doublings = u32::from(tries.saturating_sub(1)).min(8);
    let bound = BACKOFF_FIRST * (1 << doublings);
    bound.mul_f64(rng.random::<f64>())
}
