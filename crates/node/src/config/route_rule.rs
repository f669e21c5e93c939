//! Checked routes.

use std::{rc::Rc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use super::{ConfigError, RequestKind, RouteInput, WeightedRoundRobin};

/// Longest time that a route or limit may name: an hour is far beyond any
/// request, and far from overflow.
const TIME_MAX_S: f64 = 3_600.0;

/// A checked route.
#[derive(Debug)]
pub struct RouteRule {
    /// The route as written.
    pub input: Rc<RouteInput>,
    /// Name.
    pub name: Rc<str>,
    /// Hash of the name, by which service times are kept.
    pub route_hash: u64,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Time after which the caller gets a final answer.
    pub timeout: Duration,
    /// Time within which an answer is of full use.
    pub target: Duration,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Most backend servers that one request may be sent to.
    pub attempts: u32,
    /// Services that answer.
    pub shares: WeightedRoundRobin,
}

impl TryFrom<&Rc<RouteInput>> for RouteRule {
    type Error = ConfigError;

    fn try_from(input: &Rc<RouteInput>) -> Result<Self, ConfigError> {
        let route = || input.name.clone();
        let bounded = input.prefix.starts_with('/') && input.prefix.ends_with('/');
        if !bounded {
            let prefix = input.prefix.clone();
            return Err(ConfigError::BarePrefix {
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
            target: checked_time(input.target_s, &input.name)?,
            rank: input.rank,
            attempts: input.attempts,
            shares,
        })
    }
}

/// Turns seconds into a time, or says where they stand.
pub(super) fn checked_time(seconds: f64, place: &str) -> Result<Duration, ConfigError> {
    if seconds > 0.0 && seconds <= TIME_MAX_S {
        Ok(Duration::from_secs_f64(seconds))
    } else {
        let place = place.to_owned();
        Err(ConfigError::BadTime { place })
    }
}
