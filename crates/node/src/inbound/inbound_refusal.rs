//! Refusals of requests that certainly didn't run.

use std::{str::FromStr, time::Duration};

use strum::{Display, EnumString, IntoStaticStr};

/// Why the inbound proxy refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// Nothing is known of a backend server here yet.
    Shut,
    /// The backend server is leaving.
    Leaving,
    /// Another start of the backend server, or none, is here.
    OtherInstance,
    /// Every slot is taken, and the request only probed for a free one.
    Busy,
    /// The queue is too long for the time that the request has.
    Full,
    /// The instance's link has more to carry than small answers can wait for.
    LinkFull,
    /// The request has crashed backend servers.
    Poisoned,
    /// The backend server itself refused.
    EndpointRefused,
    /// The backend server takes no connection.
    EndpointDown,
    /// This node is stopping.
    Stopping,
}

impl RefusalReason {
    /// Whether there was no room, now or soon enough.
    pub const fn is_full(self) -> bool {
        matches!(self, Self::Busy | Self::Full | Self::LinkFull)
    }

    /// Whether the request came to the backend server, which turned it away.
    pub const fn reached_endpoint(self) -> bool {
        matches!(self, Self::EndpointRefused)
    }
}

/// Refusal of a request that certainly didn't run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InboundRefusal {
    /// Reason.
    pub reason: RefusalReason,
    /// Time after which room is expected.
    pub retry_after: Duration,
}

impl std::fmt::Display for InboundRefusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{},{}", self.reason, self.retry_after.as_millis())
    }
}

impl FromStr for InboundRefusal {
    type Err = strum::ParseError;

    /// Reads what [`Display`](std::fmt::Display) wrote.
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
