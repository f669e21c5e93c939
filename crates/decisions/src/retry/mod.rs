//! Whether a failed request is tried again, and how long it may take.
//!
//! **Load pattern.** A backend server breaks or refuses now and then, and a
//! second try elsewhere hides it from the caller. Now and then a whole service
//! is out, or full, and every first try fails.
//!
//! **Without it.** Three tries at each level of a call nine deep turn one
//! request into thousands at the deepest service, just when that is down, and
//! hold it down when it returns. A request that must not repeat runs twice.
//!
//! **How.** [`RetryRule`] allows a retry only at the first hop, of work that
//! is idempotent or proved not run, with time left, and when the service's
//! [`RetryBudget`] has a token: successes earn them, so that an outage earns
//! none. [`HopDeadline`] shrinks the deadline per hop, so that an inner server
//! gives up before the outer one does.
//!
//! **Grounds for figures** stand beside each constant.

mod hop_deadline;
mod retry_budget;
mod retry_case;
mod retry_decision;
mod retry_rule;

pub use hop_deadline::HopDeadline;
pub use retry_budget::RetryBudget;
pub use retry_case::RetryCase;
pub use retry_decision::RetryDecision;
pub use retry_rule::RetryRule;
