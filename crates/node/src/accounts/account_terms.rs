//! Settings that concern accounts and quotas.

use std::time::Duration;

/// Settings that concern client accounts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountTerms {
    /// Whether requests with a key are refused when a key may have been revoked unnoticed.
    pub fails_closed: bool,
    /// Time after the acknowledgment of a revocation from which no request with the key may run.
    pub revoke_time: Duration,
    /// Limits on quotas; none where quotas aren't in force.
    pub quota: Option<QuotaTerms>,
}

/// How closely quotas have to be kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTerms {
    /// Sliding window over which requests are counted.
    pub window: Duration,
    /// Share by which the requests in a window may exceed the quota.
    pub over: f64,
    /// Requests by which a window may exceed the quota in addition.
    pub slack: f64,
}
