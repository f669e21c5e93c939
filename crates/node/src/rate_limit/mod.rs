//! Request rates that backend servers name in their responses.
//!
//! A backend server in need names the rate of requests that it takes from all nodes together. An
//! [`EndpointNotice`] holds what one response says. [`LimitReporter`] logs and counts it.

mod endpoint_notice;
mod limit_reporter;
mod limit_usage;
mod request_rate;

pub use endpoint_notice::{EndpointNotice, LimitNotice};
pub use limit_reporter::{LimitCounters, LimitReporter};
pub use limit_usage::LimitUsage;
pub use request_rate::{RateError, RequestRate};
