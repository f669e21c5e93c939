//! Budget that limits a node's retries.

mod retry_budget;

pub use retry_budget::{RetryBudget, RetryLimits, RetryQuery};
