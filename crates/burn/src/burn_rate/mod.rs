//! Calculation of the burn of error budgets from samples.
//!
//! The code does no I/O and reads no clock.

mod alert_rule;
mod burn_interval;
mod burn_tally;
mod burn_tracker;
mod interval_history;
mod tally_key;
mod urgency;

pub use alert_rule::{ALERT_RULES, AlertRule};
pub use burn_interval::{BurnInterval, ServiceTallies};
pub use burn_tally::{BudgetTally, BurnTally};
pub use burn_tracker::BurnTracker;
pub use interval_history::IntervalHistory;
pub use tally_key::TallyKey;
pub use urgency::Urgency;
