//! Load that a backend server reports in its responses.

use std::str::FromStr;

use http::HeaderMap;
use snafu::Snafu;

use super::PaceRatio;
use crate::header_names::HeaderNames;

/// Largest number of requests or slots. Beyond it, a number is a mistake.
const COUNT_MAX: u32 = 1_000_000;

/// Load that a backend server reports in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    running: u32,
    waiting: u32,
    slots: u32,
    pace: Option<PaceRatio>,
}

/// A reported load that isn't three or four numbers within their bounds.
#[derive(Debug, Snafu, PartialEq, Eq)]
#[snafu(display("the load isn't RUNNING,WAITING,SLOTS or RUNNING,WAITING,SLOTS,PACE"))]
pub struct ServerLoadError;

impl FromStr for ServerLoad {
    type Err = ServerLoadError;

    /// Parses `RUNNING,WAITING,SLOTS` or `RUNNING,WAITING,SLOTS,PACE`, the pace in percent.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::pace::ServerLoad;
    ///
    /// let load: ServerLoad = "3,1,12,250".parse()?;
    /// assert_eq!((load.requests(), load.slots()), (4, 12));
    /// assert_eq!(load.pace().map(|pace| pace.percent()), Some(250));
    /// assert!("3,1".parse::<ServerLoad>().is_err());
    /// # Ok::<(), geranium_node::pace::ServerLoadError>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, ServerLoadError> {
        let fields: Vec<&str> = text.split(',').map(str::trim).collect();
        let (counts, pace) = match fields.as_slice() {
            [counts @ .., pace] if counts.len() == 3 => (counts, Some(*pace)),
            counts if counts.len() == 3 => (counts, None),
            _ => return Err(ServerLoadError),
        };
        let pace = pace.map(parse_pace).transpose()?;
        Ok(Self {
            running: parse_count(counts[0])?,
            waiting: parse_count(counts[1])?,
            slots: parse_count(counts[2])?,
            pace,
        })
    }
}

impl ServerLoad {
    /// Returns the number of requests at the backend server, running or waiting there.
    pub const fn requests(&self) -> u32 {
        self.running + self.waiting
    }

    /// Returns the number of requests that the backend server runs at a time.
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the pace; none if the backend server reports none.
    pub const fn pace(&self) -> Option<PaceRatio> {
        self.pace
    }
}

/// What a response says about the load of its backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadNotice {
    /// The backend server reports no load.
    Absent,
    /// The backend server reports this load.
    Reported(ServerLoad),
    /// The header is present, but isn't one load.
    Malformed,
}

impl LoadNotice {
    /// Reads the headers of a response.
    pub fn read(headers: &HeaderMap, names: &HeaderNames) -> Self {
        let mut values = headers.get_all(&names.server_load).iter();
        let Some(value) = values.next() else {
            return Self::Absent;
        };
        let load = value.to_str().ok().and_then(|text| text.parse().ok());
        match load {
            Some(load) if values.next().is_none() => Self::Reported(load),
            _ => Self::Malformed,
        }
    }
}

fn parse_count(text: &str) -> Result<u32, ServerLoadError> {
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    let count = text.parse().ok().filter(|_| is_number);
    count
        .filter(|&count| count <= COUNT_MAX)
        .ok_or(ServerLoadError)
}

/// Parses a pace in percent; decimals are allowed, signs and exponents aren't.
fn parse_pace(text: &str) -> Result<PaceRatio, ServerLoadError> {
    let is_number = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let percent: Option<f64> = text.parse().ok().filter(|_| is_number);
    let pace = percent.and_then(|percent| PaceRatio::try_from(percent).ok());
    pace.ok_or(ServerLoadError)
}
