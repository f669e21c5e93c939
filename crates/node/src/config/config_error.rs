//! Reasons why a configuration document is refused.

use snafu::Snafu;

use crate::accounts::AccountError;

/// Reason why a configuration document is refused.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(super)))]
pub enum ConfigError {
    /// A route names a service that the document doesn't define.
    #[snafu(display("route {route} names the unknown service {service}"))]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the undefined service.
        service: String,
    },
    /// A route names no service with a weight above 0.
    #[snafu(display("route {route} has no target with a weight"))]
    NoTarget {
        /// Name of the route.
        route: String,
    },
    /// A prefix doesn't begin and end with a slash.
    #[snafu(display("route {route} has the prefix {prefix:?}, not one between slashes"))]
    PrefixWithoutSlashes {
        /// Name of the route.
        route: String,
        /// Prefix as written in the document.
        prefix: String,
    },
    /// The `attempts` of a route are 0.
    #[snafu(display("route {route} allows no attempt"))]
    NoAttempts {
        /// Name of the route.
        route: String,
    },
    /// A time isn't a finite number above 0.
    #[snafu(display("{field} has a time out of range"))]
    TimeOutOfRange {
        /// Name of the route, or of the limit, whose time is out of range.
        field: String,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display("route {route} repeats the host and prefix of another"))]
    DuplicateRoute {
        /// Name of the second of the two routes.
        route: String,
    },
    /// The accounts are refused.
    #[snafu(display("{source}"), context(false))]
    Account {
        /// Reason why the accounts are refused.
        source: AccountError,
    },
    /// The document names no route.
    #[snafu(display("the document names no route"))]
    NoRoutes,
    /// The document isn't of the expected shape.
    #[snafu(display("the document is malformed: {reason}"))]
    Malformed {
        /// Error of the parser.
        reason: String,
    },
}
