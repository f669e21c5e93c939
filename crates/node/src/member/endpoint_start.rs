//! Identity of one start of a backend server's process.

use http::HeaderValue;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// An unchecked start of a backend server, as it was deserialised.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct StartInput {
    /// Instance identifier of the backend server.
    pub instance: String,
    /// Unix time of the start in milliseconds; none if it wasn't reported.
    #[serde(default)]
    pub born_ms: Option<u64>,
}

/// Longest instance identifier in bytes. Identifiers are part of keys in the store, whose
/// length is limited.
const INSTANCE_MAX_BYTES: usize = 128;

/// Why a [`StartInput`] was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum StartError {
    /// The identifier is empty.
    #[snafu(display("the identifier is empty"))]
    Empty,
    /// The identifier is longer than the store's keys allow.
    #[snafu(display("the identifier is too long: {bytes} bytes"))]
    TooLong {
        /// Length of the identifier in bytes.
        bytes: usize,
    },
    /// The identifier isn't a valid value of an HTTP header.
    #[snafu(display("the identifier {instance:?} isn't a valid header value"))]
    Unprintable {
        /// The rejected identifier.
        instance: String,
    },
}

/// Order in time of one start of a backend server relative to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOrder {
    /// Both are the same start.
    Same,
    /// This start is before the other.
    Earlier,
    /// This start is after the other.
    Later,
    /// The starts differ, and which of them came first isn't known.
    Unknown,
}

/// One start of a backend server: its instance identifier and the time of the start.
///
/// A backend server may come back under the same identifier after a crash and number its
/// reports from the beginning. By the identifier alone, its reports would be taken for
/// late reports of the crashed process, and failures of that process would count against
/// it. Everything that concerns one start therefore identifies it by both values.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "StartInput")]
pub struct EndpointStart {
    instance: String,
    /// Unix time of the start in milliseconds; none if it wasn't reported.
    #[serde(skip_serializing_if = "Option::is_none")]
    born_ms: Option<u64>,
}

impl EndpointStart {
    /// Returns the instance identifier, which a later start may share.
    pub fn instance(&self) -> &str {
        &self.instance
    }

    /// Returns the Unix time of the start in milliseconds; none if it wasn't reported.
    pub const fn born_ms(&self) -> Option<u64> {
        self.born_ms
    }

    /// Compares the times of this start and `other`.
    ///
    /// Where a time is unknown, starts with the same identifier count as the same.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::member::{EndpointStart, StartInput, StartOrder};
    ///
    /// let start = |born_ms| {
    ///     let instance = "i-7f3a".to_owned();
    ///     EndpointStart::try_from(StartInput { instance, born_ms })
    /// };
    /// let (first, second) = (start(Some(1_000))?, start(Some(9_000))?);
    /// assert_eq!(second.order(&first), StartOrder::Later);
    /// assert_eq!(start(None)?.order(&first), StartOrder::Same);
    /// # Ok::<(), geranium_node::member::StartError>(())
    /// ```
    pub fn order(&self, other: &Self) -> StartOrder {
        match (self.born_ms, other.born_ms) {
            (Some(own), Some(other)) if own < other => StartOrder::Earlier,
            (Some(own), Some(other)) if own > other => StartOrder::Later,
            _ if self.instance == other.instance => StartOrder::Same,
            _ => StartOrder::Unknown,
        }
    }

    /// Sets the Unix time of the start to `born_ms`, in milliseconds, unless it is known.
    #[must_use]
    pub fn with_default_born_ms(self, born_ms: u64) -> Self {
        Self {
            born_ms: self.born_ms.or(Some(born_ms)),
            ..self
        }
    }

    /// Whether this start has ended if the start `ended` has.
    ///
    /// The end of `ended` implies that of the same start, and of an earlier one under the
    /// same identifier.
    pub fn ended_with(&self, ended: &Self) -> bool {
        let order = self.order(ended);
        self.instance == ended.instance && matches!(order, StartOrder::Same | StartOrder::Earlier)
    }
}

impl std::fmt::Display for EndpointStart {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.born_ms {
            Some(born_ms) => write!(f, "{}@{born_ms}", self.instance),
            None => f.write_str(&self.instance),
        }
    }
}

impl TryFrom<StartInput> for EndpointStart {
    type Error = StartError;

    fn try_from(input: StartInput) -> Result<Self, StartError> {
        let StartInput { instance, born_ms } = input;
        if instance.is_empty() {
            return Err(StartError::Empty);
        }
        if instance.len() > INSTANCE_MAX_BYTES {
            let bytes = instance.len();
            return Err(StartError::TooLong { bytes });
        }
        if HeaderValue::from_str(&instance).is_err() {
            return Err(StartError::Unprintable { instance });
        }
        Ok(Self { instance, born_ms })
    }
}
