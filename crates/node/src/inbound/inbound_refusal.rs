//! Refusals of requests that certainly didn't run.

use std::{str::FromStr, time::Duration};

use strum::{Display, EnumString, IntoStaticStr};

/// Reason for which the inbound proxy refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// No backend server is known here yet.
    Shut,
    /// The backend server is leaving.
    Leaving,
    /// Another start of the backend server, or none, runs here.
    OtherInstance,
    /// Every slot is taken, and the request may not wait for one.
    Busy,
    /// The queue is too long for the time that the request has left.
    ///
    /// The reason also stands for a full queue in which the request's route has been served
    /// more often than others of its rank or above.
    Full,
    /// The backend server has named a limit, and its queue is too long at that rate.
    Limited,
    /// Calls that the run would make are refused too often, and requests wait for its slot.
    CallsFail,
    /// The response couldn't arrive in time, because the instance's link is reserved too far
    /// ahead.
    LinkFull,
    /// The request has crashed backend servers.
    Poisoned,
    /// The sender has a newer configuration, which didn't arrive here in time.
    ConfigBehind,
    /// The caller's key was revoked, or the route needs a key and the request has none.
    KeyUnknown,
    /// The time in which a request with a key may begin to run is over.
    KeyUnproven,
    /// The backend server itself refused the request.
    EndpointRefused,
    /// The backend server accepts no connection, or the breaker is open.
    EndpointDown,
    /// This node is stopping.
    Stopping,
}

impl RefusalReason {
    /// Whether there was no capacity, now or soon enough.
    pub const fn is_full(self) -> bool {
        matches!(
            self,
            Self::Busy | Self::Full | Self::Limited | Self::CallsFail | Self::LinkFull
        )
    }

    /// Whether the backend server itself refused the request.
    pub const fn reached_endpoint(self) -> bool {
        matches!(self, Self::EndpointRefused)
    }
}

/// Refusal of a request that certainly didn't run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InboundRefusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Time after which capacity is expected.
    pub retry_after: Duration,
}

impl std::fmt::Display for InboundRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{},{}", self.reason, self.retry_after.as_millis())
    }
}

impl FromStr for InboundRefusal {
    type Err = strum::ParseError;

    /// Parses the text that [`Display`](std::fmt::Display) writes.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::inbound::{InboundRefusal, RefusalReason};
    ///
    /// let refusal: InboundRefusal = "full,80".parse()?;
    /// assert_eq!(refusal.reason, RefusalReason::Full);
    /// assert_eq!(refusal.to_string(), "full,80");
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, strum::ParseError> {
        let (reason, millis) = text
            .split_once(',')
            .ok_or(strum::ParseError::VariantNotFound)?;
        let millis = millis.parse().or(Err(strum::ParseError::VariantNotFound))?;
        Ok(Self {
            reason: reason.parse()?,
            retry_after: Duration::from_millis(millis),
        })
    }
}
