//! Checked accounts.

use std::rc::Rc;

use http::HeaderValue;
use xxhash_rust::xxh3::xxh3_64;

use super::{AccountError, AccountInput};

/// Largest rate of a quota in requests per second, and largest burst in requests. A larger one is
/// reduced to it, and no fleet runs that many requests.
const QUOTA_MAX: f64 = 1e9;

/// Number of requests that an account may send to all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountQuota {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests that may be sent at once beyond the rate.
    pub burst: f64,
}

/// A checked account.
#[derive(Debug, Clone)]
pub struct AccountRule {
    /// Name of the account.
    pub name: Rc<str>,
    /// Hash of the name, by which nodes identify the account in statistics.
    pub name_hash: u64,
    /// Name of the account as a header value.
    pub header_value: HeaderValue,
    /// Priority rank, which goes before that of the route; none to use the route's alone.
    pub rank: Option<u8>,
    /// Limit on the account's requests; none if there is no limit.
    pub quota: Option<AccountQuota>,
}

impl TryFrom<&AccountInput> for AccountRule {
    type Error = AccountError;

    fn try_from(input: &AccountInput) -> Result<Self, AccountError> {
        let account = || input.name.clone();
        // Readers of a header drop outer spaces, so that two names could become one.
        let is_trimmed = input.name.trim_matches([' ', '\t']) == input.name;
        let header_value = HeaderValue::from_str(&input.name).ok();
        let header_value = header_value
            .filter(|_| is_trimmed && !input.name.is_empty())
            .ok_or_else(|| AccountError::BadName { account: account() })?;
        let is_quota = |value: f64| value.is_finite() && value >= 0.0;
        if !is_quota(input.rate_per_s) || !is_quota(input.burst) {
            return Err(AccountError::BadQuota { account: account() });
        }
        let quota = AccountQuota {
            rate_per_s: input.rate_per_s.min(QUOTA_MAX),
            burst: input.burst.min(QUOTA_MAX),
        };
        Ok(Self {
            name: input.name.as_str().into(),
            name_hash: xxh3_64(input.name.as_bytes()),
            header_value,
            rank: input.rank,
            quota: (input.rate_per_s > 0.0).then_some(quota),
        })
    }
}
