//! How many further tries a node may make.

mod retry_budget;

pub use retry_budget::{RetryBudget, RetryLimits, RetryNeed};
