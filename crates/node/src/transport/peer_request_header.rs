//! Header of a request that a node forwards to another node.

use std::{
    net::{AddrParseError, SocketAddr},
    num::ParseIntError,
    str::FromStr,
    time::Duration,
};

use snafu::Snafu;

use crate::{config::ConfigVersion, rate_limit::RequestRate};

/// Value of the third flag if the request may wait and is sent to the only member. Nodes of earlier
/// versions take it for a request that may wait.
const WAITS_AT_ONLY_MEMBER: u8 = 2;

/// Routing data of a request that one node forwards to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a statement of its own in the header"
)]
pub struct PeerRequestHeader {
    /// Priority rank of the route; 0 is the most urgent.
    pub rank: u8,
    /// Hash of the route's name.
    pub route_hash: u64,
    /// Whether the request is a nested call of a run that has begun.
    pub is_nested: bool,
    /// Whether the request may run more than once without harm.
    pub idempotent: bool,
    /// Whether the request may wait for a slot; otherwise it is refused unless one is free.
    pub may_wait: bool,
    /// Whether the sender knows no other member that it could be sent to. Only a request that may wait
    /// says so.
    pub is_only_member: bool,
    /// Time left until the route's target latency has passed.
    pub target_remaining: Duration,
    /// Version of the sender's configuration; 0 when it has none.
    pub version: ConfigVersion,
    /// Address at which the sender accepts requests of other nodes.
    pub from: SocketAddr,
    /// Limit of the receiver's backend server that the sender knows; none if it knows none.
    pub limit: Option<RequestRate>,
}

/// Failure to parse a [`PeerRequestHeader`].
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum PeerRequestHeaderError {
    /// The header has too few fields.
    #[snafu(display("a field is missing"))]
    Missing,
    /// The sender's address is malformed.
    #[snafu(display("{source}"), context(false))]
    Address {
        /// Error of the parser.
        source: AddrParseError,
    },
    /// A field isn't a number in its range.
    #[snafu(display("{source}"), context(false))]
    Number {
        /// Error of the parser.
        source: ParseIntError,
    },
}

impl std::fmt::Display for PeerRequestHeader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let useful_ms = self.target_remaining.as_millis();
        let flags = [self.is_nested, self.idempotent, self.may_wait];
        let [is_nested, idempotent, mut may_wait] = flags.map(u8::from);
        if self.may_wait && self.is_only_member {
            may_wait = WAITS_AT_ONLY_MEMBER;
        }
        write!(
            f,
            "{},{:x},{is_nested},{idempotent},{may_wait},",
            self.rank, self.route_hash
        )?;
        write!(f, "{useful_ms},{},{}", self.version, self.from)?;
        match self.limit {
            Some(limit) => write!(f, ",{}", limit.millis()),
            None => Ok(()),
        }
    }
}

impl FromStr for PeerRequestHeader {
    type Err = PeerRequestHeaderError;

    /// Parses the format that [`Display`](std::fmt::Display) writes. The last field, the limit, may be
    /// missing.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::transport::PeerRequestHeader;
    ///
    /// let header: PeerRequestHeader = "2,ff,0,1,0,380,12,10.1.0.4:7600".parse()?;
    /// assert_eq!((header.rank, header.route_hash, header.version.0), (2, 255, 12));
    /// assert_eq!(header.to_string(), "2,ff,0,1,0,380,12,10.1.0.4:7600");
    /// let header: PeerRequestHeader = "2,ff,0,1,2,380,12,10.1.0.4:7600".parse()?;
    /// assert!(header.may_wait && header.is_only_member);
    /// assert_eq!(header.to_string(), "2,ff,0,1,2,380,12,10.1.0.4:7600");
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, PeerRequestHeaderError> {
        let mut fields = text.split(',');
        let mut next = || fields.next().ok_or(PeerRequestHeaderError::Missing);
        let (rank, route_hash) = (next()?.parse()?, u64::from_str_radix(next()?, 16)?);
        let mut flag = || Ok::<u8, PeerRequestHeaderError>(next()?.parse()?);
        let (is_nested, idempotent, may_wait) = (flag()? != 0, flag()? != 0, flag()?);
        let target_remaining = Duration::from_millis(next()?.parse()?);
        let (version, from) = (ConfigVersion(next()?.parse()?), next()?.parse()?);
        let limit = fields.next().map(str::parse).transpose()?;
        Ok(Self {
            rank,
            route_hash,
            is_nested,
            idempotent,
            may_wait: may_wait != 0,
            is_only_member: may_wait == WAITS_AT_ONLY_MEMBER,
            target_remaining,
            version,
            from,
            limit: limit.map(RequestRate::from_millis),
        })
    }
}
