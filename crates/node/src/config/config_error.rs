//! Reasons why a configuration document isn't taken.

use snafu::Snafu;

/// Reason why a configuration document isn't taken.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(visibility(pub(super)))]
pub enum ConfigError {
    /// A route names a service that the document lacks.
    #[snafu(display("route {route} names the unknown service {service}"))]
    UnknownService {
        /// Route.
        route: String,
        /// Service that the document lacks.
        service: String,
    },
    /// A route has no target, or its weights add up to nothing.
    #[snafu(display("route {route} has no target with a weight"))]
    NoTarget {
        /// Route.
        route: String,
    },
    /// A prefix doesn't begin and end with a slash.
    #[snafu(display("route {route} has the prefix {prefix:?}, not one between slashes"))]
    BarePrefix {
        /// Route.
        route: String,
        /// Prefix as written.
        prefix: String,
    },
    /// A route allows no attempt at all.
    #[snafu(display("route {route} allows no attempt"))]
    NoAttempts {
        /// Route.
        route: String,
    },
    /// A time is negative, not a number or absurdly long.
    #[snafu(display("{place} has a time out of range"))]
    BadTime {
        /// Route or limit that holds the time.
        place: String,
    },
    /// Two routes share host and prefix.
    #[snafu(display("route {route} repeats the host and prefix of another"))]
    DoubledRoute {
        /// Second route.
        route: String,
    },
    /// The document names no route.
    #[snafu(display("the document names no route"))]
    NoRoutes,
    /// The document isn't of the expected shape.
    #[snafu(display("the document is malformed: {reason}"))]
    Malformed {
        /// What the parser met.
        reason: String,
    },
}
