//! Numbered result codes.

use serde::{Deserialize, Serialize};
use strum::{Display, FromRepr, IntoStaticStr, VariantArray};

/// Numbered code that callers, operators and logs share.
///
/// The hundreds group them: 1xx requests refused or ended by a node, 2xx
/// presets, 3xx the platform, 4xx settings, 5xx operators' commands. Numbers
/// are never given to another meaning; `docs/CODES.md` lists them.
///
/// # Examples
///
/// ```
/// use geranium_model::ResultCode;
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
    /// Head of the request over its limit.
    HeadTooLarge = 102,
    /// Body of the request over its limit.
    BodyTooLarge = 103,
    /// No route has a prefix of the path.
    NoRoute = 104,
    /// The request came too slowly.
    RequestTimeout = 105,
    /// The chain of calls is too deep.
    TooManyHops = 106,
    /// The route's requests run at most once and this one has no ticket.
    TicketRequired = 107,
    /// The ticket can't be read, or belongs to another service.
    BadTicket = 108,
    /// Too many open connections.
    TooManyConnections = 109,

    /// The node has no configuration yet.
    NotReady = 110,
    /// The queue beside the backend server is full.
    QueueFull = 111,
    /// It can't finish before its deadline.
    DeadlineUnreachable = 112,
    /// The deadline passed before it was sent to a backend server.
    DeadlineBeforeRun = 113,
    /// The caller has more than its share while others wait.
    CallerOverShare = 114,
    /// No live backend server gives the service.
    NoBackend = 115,
    /// The backend server is leaving and takes no new work.
    Draining = 116,
    /// The backend server refused to run it.
    BackendRefused = 117,
    /// The request crashed backend servers before.
    Poisoned = 118,
    /// The node that guards the backend server can't be reached.
    NodeUnreachable = 119,
    /// The bulk share of the slots is used up and the queue is full.
    BulkShareFull = 120,

    /// The deadline passed while a backend server may have been running it.
    DeadlineWhileRunning = 130,
    /// The connection to the backend server broke while it may have run.
    BackendBroke = 131,
    /// The node that guards the backend server went away while it may have
    /// run.
    NodeBroke = 132,
    /// The ticket's node is gone: whether the request ran can't be known.
    TicketOwnerGone = 133,
    /// The ticket is older than its owner remembers.
    TicketExpired = 134,
    /// The ticket was used for another request.
    TicketReused = 135,
    /// The same ticket is running already.
    TicketRunning = 136,
    /// The answer broke off or doesn't fit its digest.
    AnswerBroken = 137,

    /// The preset document is over a megabyte.
    PresetTooLarge = 201,
    /// The preset document isn't JSON of the expected shape.
    PresetMalformed = 202,
    /// A name in the preset breaks the naming rule.
    PresetBadName = 203,
    /// A value in the preset is outside its range.
    PresetOutOfRange = 204,
    /// A name or path prefix stands twice.
    PresetDuplicate = 205,
    /// A route points at a service that the preset lacks.
    PresetMissingService = 206,
    /// Content doesn't fit the digest it is stored under.
    PresetDigestMismatch = 207,
    /// No preset has this name.
    PresetUnknown = 208,
    /// The in-force record can't be read.
    InForceMalformed = 209,

    /// The platform can't be reached or timed out.
    PlatformUnavailable = 301,
    /// The platform answered with something unexpected.
    PlatformBadAnswer = 302,
    /// Another operator's write came first.
    LostRace = 303,
    /// Whether the write took effect could not be found out.
    WriteUnknown = 304,

    /// A setting is missing or malformed.
    BadSetting = 401,
    /// Two settings contradict each other.
    SettingsConflict = 402,
    /// An address can't be listened on.
    CannotListen = 403,

    /// A node's admin port can't be reached.
    AdminUnreachable = 501,
    /// A node's admin port answered with something unexpected.
    AdminBadAnswer = 502,
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
            Self::BadRequest | Self::BadTicket => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
            Self::NoRoute => 404,
            Self::RequestTimeout => 408,
            Self::TooManyHops => 508,
            Self::TicketRequired => 428,
            Self::CallerOverShare => 429,
            Self::Poisoned => 422,
            Self::TicketReused | Self::TicketRunning => 409,
            Self::TicketOwnerGone | Self::TicketExpired => 410,
            Self::DeadlineWhileRunning => 504,
            Self::BackendBroke | Self::NodeBroke | Self::AnswerBroken => 502,
            _ => 503,
        }
    }
}
