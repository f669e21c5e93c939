//! Checked routes.

use std::{rc::Rc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use super::{ConfigError, RequestKind, RouteInput, WeightedRoundRobin};
use crate::bounded_time::BoundedTime;

/// A checked route, by which requests are sent to services.
#[derive(Debug)]
pub struct RouteRule {
    /// Route as written in the document.
    pub input: Rc<RouteInput>,
    /// Name of the route.
    pub name: Rc<str>,
    /// Hash of the name, by which nodes identify the route in headers and statistics.
    pub route_hash: u64,
    /// Kind of the requests, which says whether they may run more than once.
    pub kind: RequestKind,
    /// Time after which the caller gets a final response.
    pub timeout: Duration,
    /// Target latency; a later response counts as slow.
    pub target_latency: Duration,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// Largest number of backend servers that one attempt of a caller may reach.
    pub attempts: u32,
    /// Services that requests are sent to.
    pub shares: WeightedRoundRobin,
    /// Whether requests need no key.
    pub anonymous: bool,
}

impl TryFrom<&Rc<RouteInput>> for RouteRule {
    type Error = ConfigError;

    fn try_from(input: &Rc<RouteInput>) -> Result<Self, ConfigError> {
        let route = || input.name.clone();
        let has_slashes = input.prefix.starts_with('/') && input.prefix.ends_with('/');
        if !has_slashes {
            let prefix = input.prefix.clone();
            return Err(ConfigError::PrefixWithoutSlashes {
                route: route(),
                prefix,
            });
        }
        if input.attempts == 0 {
            return Err(ConfigError::NoAttempts { route: route() });
        }
        let shares = input.shares.iter();
        let shares = WeightedRoundRobin::new(
            shares.map(|share| (share.service.as_str().into(), share.weight)),
        );
        if shares.is_empty() {
            return Err(ConfigError::NoTarget { route: route() });
        }
        Ok(Self {
            input: Rc::clone(input),
            name: input.name.as_str().into(),
            route_hash: xxh3_64(input.name.as_bytes()),
            kind: input.kind,
            timeout: checked_time(input.timeout_s, &input.name)?,
            target_latency: checked_time(input.target_s, &input.name)?,
            rank: input.rank,
            attempts: input.attempts,
            shares,
            anonymous: input.anonymous,
        })
    }
}

/// Converts seconds to a duration.
///
/// Seconds out of range are refused with an error that names `field`.
pub(super) fn checked_time(seconds: f64, field: &str) -> Result<Duration, ConfigError> {
    let time = BoundedTime::try_from(seconds).map(Duration::from);
    let time = time.ok().filter(|time| !time.is_zero());
    time.ok_or_else(|| ConfigError::TimeOutOfRange {
        field: field.to_owned(),
    })
}
