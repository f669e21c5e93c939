//! Failures of calls to the platform.

use geranium_model::ResultCode;
use snafu::Snafu;

use crate::{EndpointError, LeaseId, WriteEffect};

/// Cause inside a library, kept as text in the chain of errors.
pub(crate) type Cause = Box<dyn std::error::Error + Send + Sync>;

/// A call to the platform that brought no usable answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// No byte of the request's body was sent.
    #[snafu(display("the platform at {endpoint} can't be reached: {source}"))]
    Unreachable {
        /// Endpoint that was tried.
        endpoint: String,
        /// What the connection attempt ended with.
        source: Cause,
    },
    /// The request was sent and its answer never came, or broke off.
    #[snafu(display("the answer of the platform at {endpoint} was lost: {source}"))]
    AnswerLost {
        /// Endpoint that was asked.
        endpoint: String,
        /// What ended the wait.
        source: Cause,
    },
    /// The platform turned the call away before it looked at it.
    #[snafu(display("the platform at {endpoint} refused the call with status {status}: {reason}"))]
    Refused {
        /// Endpoint that refused.
        endpoint: String,
        /// HTTP status.
        status: u16,
        /// What it said.
        reason: String,
    },
    /// The platform failed while it handled the call.
    #[snafu(display("the platform at {endpoint} failed with status {status}: {reason}"))]
    Failed {
        /// Endpoint that failed.
        endpoint: String,
        /// HTTP status.
        status: u16,
        /// What it said.
        reason: String,
    },
    /// The write's lease has lapsed, or never was.
    #[snafu(display("the lease {lease} has lapsed"))]
    LeaseLapsed {
        /// The lease.
        lease: LeaseId,
    },
    /// The answer has another shape than the published one.
    #[snafu(display("the platform at {endpoint} answered with something unexpected: {reason}"))]
    BadAnswer {
        /// Endpoint that answered.
        endpoint: String,
        /// What is wrong with the answer.
        reason: String,
    },
    /// The endpoints in the settings can't be used.
    #[snafu(transparent)]
    BadSettings {
        /// What is wrong with them.
        source: EndpointError,
    },
}

impl PlatformError {
    /// Returns the numbered code that operators are shown.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Unreachable { .. }
            | Self::AnswerLost { .. }
            | Self::Refused { status: 429, .. }
            | Self::Failed { .. } => ResultCode::PlatformUnavailable,
            Self::Refused { .. } | Self::LeaseLapsed { .. } | Self::BadAnswer { .. } => {
                ResultCode::PlatformBadAnswer
            }
            Self::BadSettings { .. } => ResultCode::BadSetting,
        }
    }

    /// Says whether a write that ended so took effect.
    ///
    /// A status of 500 or more counts as unknown: the service also answers so
    /// when it gave up waiting for a write that is still on its way.
    pub const fn effect(&self) -> WriteEffect {
        match self {
            Self::Unreachable { .. }
            | Self::Refused { .. }
            | Self::LeaseLapsed { .. }
            | Self::BadSettings { .. } => WriteEffect::NotWritten,
            Self::AnswerLost { .. } | Self::Failed { .. } | Self::BadAnswer { .. } => {
                WriteEffect::Unknown
            }
        }
    }
}
