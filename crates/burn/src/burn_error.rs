//! Errors of a run.

use std::{io, net::SocketAddr, path::PathBuf};

use geranium_node::result_code::ResultCode;
use snafu::Snafu;

/// Reason why a run ended without a report.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BurnError {
    /// No node is given.
    #[snafu(display("no node given: set --node or GERANIUM_NODES to a node's admin address"))]
    NoNode,
    /// A call to a node failed.
    #[snafu(display("the node at {addr} can't be reached: {source}"))]
    NodeUnreachable {
        /// Admin address of the node.
        addr: SocketAddr,
        /// Error of the HTTP client.
        source: attohttpc::Error,
    },
    /// A node responded with an error status or a malformed page.
    #[snafu(display("unexpected response from the node at {addr}: {reason}"))]
    UnexpectedResponse {
        /// Admin address of the node.
        addr: SocketAddr,
        /// Status with the body, or the parser's error.
        reason: String,
    },
    /// The file of objectives can't be parsed.
    #[snafu(display("invalid objectives in {}: {source}", path.display()))]
    BadObjectives {
        /// Path of the file.
        path: PathBuf,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A value of an objective is out of range.
    #[snafu(display(
        "invalid objective of {service}: shares must be above 0 and below 1, latency_ms above 0"
    ))]
    InvalidObjective {
        /// Name of the service.
        service: String,
    },
    /// A file can't be read or written.
    #[snafu(display("can't read or write {}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A line of the sample file can't be parsed.
    #[snafu(display("invalid sample in {}, line {line}: {source}", path.display()))]
    BadSample {
        /// Path of the file.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The picture can't be drawn.
    #[snafu(display("the picture can't be drawn: {reason}"))]
    Picture {
        /// Error of the drawing library.
        reason: String,
    },
}

impl BurnError {
    /// Returns the result code, from which the exit status is derived.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_burn::BurnError;
    ///
    /// assert_eq!(BurnError::NoNode.code().number(), 401);
    /// ```
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::NoNode | Self::InvalidObjective { .. } | Self::BadObjectives { .. } => {
                ResultCode::BadSetting
            }
            Self::NodeUnreachable { .. } => ResultCode::NodePageUnreachable,
            Self::UnexpectedResponse { .. } => ResultCode::NodePageMalformed,
            Self::File { .. } | Self::BadSample { .. } | Self::Picture { .. } => {
                ResultCode::FileUnreadable
            }
        }
    }
}
