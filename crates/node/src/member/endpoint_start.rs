//! One start of a backend server.

use http::HeaderValue;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// What names a start of a backend server, as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct StartInput {
    /// Identifier that the backend server goes by.
    pub instance: String,
    /// Unix milliseconds of the start; none when it wasn't told.
    #[serde(default)]
    pub born_ms: Option<u64>,
}

/// Longest identifier, in bytes. It is part of keys in the store, whose length is
/// limited.
const INSTANCE_MAX: usize = 128;

/// A name of a start that can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum StartError {
    /// There is no identifier.
    #[snafu(display("the identifier is empty"))]
    Empty,
    /// The identifier is longer than the store's keys allow.
    #[snafu(display("the identifier has {bytes} bytes"))]
    TooLong {
        /// Its length.
        bytes: usize,
    },
    /// Requests can't carry the identifier in a header.
    #[snafu(display("the identifier {instance:?} is no header value"))]
    Unprintable {
        /// What was met.
        instance: String,
    },
}

/// How one start of a backend server stands to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOrder {
    /// They are the same.
    Same,
    /// It began before the other.
    Earlier,
    /// It began after the other.
    Later,
    /// They differ, and which began first isn't known.
    Unknown,
}

/// One start of a backend server.
///
/// A backend server that crashes may come back under the identifier that it had. It knows
/// nothing of before and counts its reports anew, so that by the identifier alone its
/// reports pass for late ones of the start that crashed, and what that one said and did
/// is held against it. Whatever concerns a start names it by identifier and time of the
/// start together.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "StartInput")]
pub struct EndpointStart {
    instance: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    born_ms: Option<u64>,
}

impl EndpointStart {
    /// Returns the identifier, which a later start may have as well.
    pub fn instance(&self) -> &str {
        &self.instance
    }

    /// Returns how this start stands to `other`.
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

    /// Returns this start with a time of its birth; one that was told is kept.
    #[must_use]
    pub fn with_default_born_ms(self, born_ms: u64) -> Self {
        Self {
            born_ms: self.born_ms.or(Some(born_ms)),
            ..self
        }
    }

    /// Whether this start had ended once `request_ended` had: it is that one, or an
    /// earlier one under the same identifier.
    pub fn ended_with(&self, request_ended: &Self) -> bool {
        let order = self.order(request_ended);
        self.instance == request_ended.instance
            && matches!(order, StartOrder::Same | StartOrder::Earlier)
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
        if instance.len() > INSTANCE_MAX {
            let bytes = instance.len();
            return Err(StartError::TooLong { bytes });
        }
        if HeaderValue::from_str(&instance).is_err() {
            return Err(StartError::Unprintable { instance });
        }
        Ok(Self { instance, born_ms })
    }
}
