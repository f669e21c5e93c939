//! Numbered result codes.

use serde::{Deserialize, Serialize};
use strum::{Display, FromRepr, IntoStaticStr, VariantArray};

/// Numbered code that callers, operators and logs share.
///
/// The hundreds group them: 1xx requests refused or ended by a node, 2xx
/// presets, 3xx the store, 4xx settings, 5xx operators' programs. Numbers are
/// never given to another meaning; `docs/CODES.md` lists them.
///
/// # Examples
///
/// ```
/// use geranium_node::result_code::ResultCode;
///
/// assert_eq!(ResultCode::QueueFull.number(), 111);
/// assert_eq!(ResultCode::QueueFull.http_status(), 503);
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    FromRepr,
    IntoStaticStr,
    VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum ResultCode {
    /// No error.
    Ok = 0,

    /// The request isn't well-formed HTTP, or a header has a bad value.
    BadRequest = 101,
    /// Body of the request over its limit.
    BodyTooLarge = 103,
    /// No route has the host and a prefix of the path.
    NoRoute = 104,
    /// The request came too slowly.
    RequestTimeout = 105,

    /// The node has no configuration yet.
    NotReady = 110,
    /// The queue beside the backend server, or its link, is full.
    QueueFull = 111,
    /// The deadline passed before it was sent to a backend server.
    DeadlineBeforeRun = 113,
    /// No live backend server gives the service.
    NoBackend = 115,
    /// The backend server is leaving, or the node stopping.
    Draining = 116,
    /// The backend server refused to run it.
    BackendRefused = 117,
    /// The request crashed backend servers before.
    Poisoned = 118,
    /// The node beside the backend server can't be reached.
    NodeUnreachable = 119,

    /// The deadline passed while a backend server may have been running it.
    DeadlineWhileRunning = 130,
    /// The connection to the backend server broke while it may have run.
    BackendBroke = 131,

    /// The preset document isn't JSON of the expected shape.
    PresetMalformed = 202,
    /// The preset fails a check that nodes make.
    PresetRefused = 204,
    /// No preset has this name.
    PresetUnknown = 208,
    /// A record of the operators' client can't be read.
    RecordMalformed = 209,

    /// The store can't be reached, is busy or timed out.
    StoreUnavailable = 301,
    /// The store answered with something unexpected.
    StoreBadAnswer = 302,
    /// Another operator's write came first.
    LostRace = 303,
    /// Whether the write took effect could not be found out.
    WriteUnknown = 304,

    /// A setting is missing or malformed.
    BadSetting = 401,

    /// A node's page can't be reached.
    NodePageUnreachable = 501,
    /// A node's page isn't of the expected form.
    NodePageMalformed = 502,
    /// A file can't be read or written.
    FileUnreadable = 503,
    /// Some nodes couldn't be read, so a report covers a part of the fleet.
    PartialReport = 504,
    /// No log line names the request.
    RequestUnknown = 505,
    /// No log line names the request, and lines are missing.
    LogIncomplete = 506,
}

impl ResultCode {
    /// Returns the number.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the HTTP status that goes with the code towards callers.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::Ok => 200,
            Self::BadRequest => 400,
            Self::NoRoute => 404,
            Self::RequestTimeout => 408,
            Self::BodyTooLarge => 413,
            Self::DeadlineWhileRunning => 504,
            Self::BackendBroke => 502,
            _ => 503,
        }
    }
}
