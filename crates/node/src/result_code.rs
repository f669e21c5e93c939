//! Numbered result codes.

use serde::{Deserialize, Serialize};
use strum::{Display, FromRepr, IntoStaticStr, VariantArray};

/// Result of a request or operation, as callers, operators and logs see it.
///
/// The hundreds digit groups the codes: 1xx for requests that a node rejected
/// or ended, 2xx for presets, 3xx for the store, 4xx for settings, 5xx for
/// operators' programs. A number is never reused for another meaning.
/// `docs/CODES.md` lists all codes.
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
    /// The request body exceeds its size limit.
    BodyTooLarge = 103,
    /// No route matches the request's host and a prefix of its path.
    NoRoute = 104,
    /// The request wasn't received in time.
    RequestTimeout = 105,
    /// The request has no valid key, and its route needs one.
    Unauthorized = 106,
    /// The caller's account is over its quota.
    OverQuota = 107,

    /// The node has no configuration yet.
    NotReady = 110,
    /// The backend server's queue or its instance's network link is full.
    QueueFull = 111,
    /// The deadline passed before the request ran on a backend server.
    DeadlineBeforeRun = 113,
    /// No live backend server provides the service.
    NoBackend = 115,
    /// The backend server is leaving, or its node is stopping.
    Draining = 116,
    /// The backend server refused to run the request.
    BackendRefused = 117,
    /// Earlier runs of the same request crashed backend servers.
    Poisoned = 118,
    /// The node beside the backend server can't be reached.
    NodeUnreachable = 119,
    /// The backend server takes only the rate of requests that it has named.
    BackendLimited = 120,
    /// The node can't tell whether the key is valid now, as its configuration may be old.
    KeyUnproven = 121,
    /// No node that grants the account's quota answers.
    QuotaUnknown = 122,
    /// The node has no memory for the body of the request.
    MemoryFull = 123,

    /// The deadline passed while a backend server may have been running the request.
    DeadlineWhileRunning = 130,
    /// The backend server's connection broke; the request may have run.
    BackendBroke = 131,

    /// The preset document isn't JSON with the expected structure.
    PresetMalformed = 202,
    /// The preset fails a check that nodes apply to configurations.
    PresetRefused = 204,
    /// No preset has this name.
    PresetUnknown = 208,
    /// A record that the operators' client wrote to the store can't be read.
    RecordMalformed = 209,
    /// No account has this name, or the account has no such key.
    AccountUnknown = 210,
    /// The key is unusable or already in use.
    KeyRefused = 211,

    /// The store is unreachable or busy, or timed out.
    StoreUnavailable = 301,
    /// The store returned an unexpected response.
    StoreBadAnswer = 302,
    /// Another operator's write took effect first.
    LostRace = 303,
    /// The client couldn't determine whether the write took effect.
    WriteUnknown = 304,
    /// The write took effect, but not every node is known to apply it.
    NotInForce = 305,

    /// A setting is missing or malformed.
    BadSetting = 401,

    /// A node's status, metrics or members page can't be reached.
    NodePageUnreachable = 501,
    /// A node's status or metrics page can't be parsed.
    NodePageMalformed = 502,
    /// A file can't be read or written.
    FileUnreadable = 503,
    /// Some nodes couldn't be read, so the report covers only part of the fleet.
    PartialReport = 504,
    /// No log line mentions the request.
    RequestUnknown = 505,
    /// No log line mentions the request, but log lines are missing.
    LogIncomplete = 506,
}

impl ResultCode {
    /// Returns the number of the code.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the HTTP status of a response to a caller with this code.
    pub const fn http_status(self) -> u16 {
        match self {
            Self::Ok => 200,
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::NoRoute => 404,
            Self::RequestTimeout => 408,
            Self::BodyTooLarge => 413,
            Self::OverQuota => 429,
            Self::DeadlineWhileRunning => 504,
            Self::BackendBroke => 502,
            _ => 503,
        }
    }
}
