//! Operators' orders of rollouts.

use std::time::Duration;

use snafu::Snafu;

use crate::{
    bounded_time::BoundedTime,
    member::{EndpointVersion, VersionError},
};

/// Fields of an order before they are checked.
#[derive(Debug, Clone, PartialEq)]
pub struct OrderInput {
    /// Name of the service.
    pub service: String,
    /// Version to which the service's traffic is to be moved.
    pub target: String,
    /// Time in seconds in which the rollout is to be completed.
    pub duration_s: f64,
}

/// Order to move the traffic of a service to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: String,
    /// Version to which the service's traffic is to be moved.
    pub target: EndpointVersion,
    /// Time in which the rollout is to be completed.
    pub duration: Duration,
}

/// Why an order is invalid.
#[derive(Debug, Snafu, PartialEq)]
pub enum RolloutOrderError {
    /// The document can't be decoded.
    #[snafu(display("malformed order: {reason}"))]
    Malformed {
        /// Description of the decoding error.
        reason: String,
    },
    /// The service has no name.
    #[snafu(display("the order names no service"))]
    NoService,
    /// The target version is empty.
    #[snafu(display("the order for {service} names no version"))]
    NoVersion {
        /// Name of the service.
        service: String,
    },
    /// The target version is invalid.
    #[snafu(display("{source}"), context(false))]
    Version {
        /// Reason why the version was rejected.
        source: VersionError,
    },
    /// The duration is zero, negative or not a finite number.
    #[snafu(display("the duration of the order for {service} is {duration_s} s"))]
    BadDuration {
        /// Name of the service.
        service: String,
        /// Duration in seconds.
        duration_s: f64,
    },
}

impl TryFrom<OrderInput> for RolloutOrder {
    type Error = RolloutOrderError;

    /// Checks an order.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::rollout::{OrderInput, RolloutOrder};
    ///
    /// let input = |duration_s| OrderInput {
    ///     service: "till".to_owned(),
    ///     target: "v2".to_owned(),
    ///     duration_s,
    /// };
    /// assert!(RolloutOrder::try_from(input(12.0)).is_ok());
    /// assert!(RolloutOrder::try_from(input(1e9)).is_ok());
    /// assert!(RolloutOrder::try_from(input(0.0)).is_err());
    /// ```
    fn try_from(input: OrderInput) -> Result<Self, RolloutOrderError> {
        let OrderInput {
            service,
            target,
            duration_s,
        } = input;
        if service.is_empty() {
            return Err(RolloutOrderError::NoService);
        }
        if target.is_empty() {
            return Err(RolloutOrderError::NoVersion { service });
        }
        let duration = BoundedTime::try_from(duration_s).map(Duration::from);
        let Some(duration) = duration.ok().filter(|duration| !duration.is_zero()) else {
            return Err(RolloutOrderError::BadDuration {
                service,
                duration_s,
            });
        };
        Ok(Self {
            service,
            target: EndpointVersion::try_from(target)?,
            duration,
        })
    }
}
