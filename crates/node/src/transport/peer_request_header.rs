//! What one node tells another of a request.

use std::{
    net::{AddrParseError, SocketAddr},
    num::ParseIntError,
    str::FromStr,
    time::Duration,
};

use snafu::Snafu;

use crate::config::ConfigVersion;

/// What one node tells another of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerRequestHeader {
    /// Rank of the route.
    pub rank: u8,
    /// Hash of the route.
    pub route_hash: u64,
    /// Whether it belongs to a run that has begun.
    pub nested: bool,
    /// Whether it may run more than once without harm.
    pub idempotent: bool,
    /// Whether it may wait for a slot; it probes for a free one otherwise.
    pub may_wait: bool,
    /// Time left in which the answer is of full use.
    pub target_remaining: Duration,
    /// Version of the configuration that the sender holds; 0 for none.
    pub version: ConfigVersion,
    /// Address at which the sender takes requests of other nodes.
    pub from: SocketAddr,
}

/// A note that can't be read.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum PeerRequestHeaderError {
    /// A figure is missing.
    #[snafu(display("a figure is missing"))]
    Missing,
    /// The address isn't one.
    #[snafu(display("{source}"), context(false))]
    Address {
        /// What the parser met.
        source: AddrParseError,
    },
    /// A figure isn't a number.
    #[snafu(display("{source}"), context(false))]
    Figure {
        /// What the parser met.
        source: ParseIntError,
    },
}

impl std::fmt::Display for PeerRequestHeader {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let useful_ms = self.target_remaining.as_millis();
        let flags = [self.nested, self.idempotent, self.may_wait];
        let [nested, repeats, waits] = flags.map(u8::from);
        write!(
            f,
            "{},{:x},{nested},{repeats},{waits},",
            self.rank, self.route_hash
        )?;
        write!(f, "{useful_ms},{},{}", self.version, self.from)
    }
}

impl FromStr for PeerRequestHeader {
    type Err = PeerRequestHeaderError;

    /// Reads what [`Display`](std::fmt::Display) wrote.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::transport::PeerRequestHeader;
    ///
    /// let note: PeerRequestHeader = "2,ff,0,1,0,380,12,10.1.0.4:7600".parse()?;
    /// assert_eq!((note.rank, note.route_hash, note.version.0), (2, 255, 12));
    /// assert_eq!(note.to_string(), "2,ff,0,1,0,380,12,10.1.0.4:7600");
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, PeerRequestHeaderError> {
        let mut figures = text.split(',');
        let mut next = || figures.next().ok_or(PeerRequestHeaderError::Missing);
        let (rank, route_hash) = (next()?.parse()?, u64::from_str_radix(next()?, 16)?);
        let mut flag = || Ok::<_, PeerRequestHeaderError>(next()?.parse::<u8>()? != 0);
        Ok(Self {
            rank,
            route_hash,
            nested: flag()?,
            idempotent: flag()?,
            may_wait: flag()?,
            target_remaining: Duration::from_millis(next()?.parse()?),
            version: ConfigVersion(next()?.parse()?),
            from: next()?.parse()?,
        })
    }
}
