//! What backend servers say of themselves in their responses.
//!
//! A backend server in need names the rate of requests that it takes from all nodes together, and one
//! that is about to end says that it leaves. An [`EndpointNotice`] holds what one response says,
//! [`LimitTracker`] which limit is in force, and [`RateLimiter`] paces requests by it. None of these
//! does I/O. [`NoticeReporter`] logs and counts.

mod endpoint_notice;
mod limit_load;
mod limit_tracker;
mod limit_usage;
mod notice_reporter;
mod rate_limiter;
mod request_rate;

pub use endpoint_notice::{EndpointNotice, LimitNotice};
pub use limit_load::LimitLoad;
pub use limit_tracker::{ExchangeTimes, LimitTracker};
pub use limit_usage::LimitUsage;
pub use notice_reporter::{LimitCounters, NoticeReporter};
pub use rate_limiter::RateLimiter;
pub use request_rate::{RateError, RequestRate};
