//! Request rates that backend servers name in their responses.
//!
//! A backend server in need names the rate of requests that it takes from all nodes together. An
//! [`EndpointNotice`] holds what one response says, [`LimitTracker`] which limit is in force, and
//! [`RateLimiter`] paces requests by it. None of these does I/O. [`LimitReporter`] logs and counts.

mod endpoint_notice;
mod limit_load;
mod limit_reporter;
mod limit_tracker;
mod limit_usage;
mod rate_limiter;
mod request_rate;

pub use endpoint_notice::{EndpointNotice, LimitNotice};
pub use limit_load::LimitLoad;
pub use limit_reporter::{LimitCounters, LimitReporter};
pub use limit_tracker::{ExchangeTimes, LimitTracker};
pub use limit_usage::LimitUsage;
pub use rate_limiter::RateLimiter;
pub use request_rate::{RateError, RequestRate};
