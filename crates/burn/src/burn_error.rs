//! Failures of a run.

use std::{io, net::SocketAddr, path::PathBuf};

use geranium_node::result_code::ResultCode;
use snafu::Snafu;

/// A run without a report.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BurnError {
    /// No node is named.
    #[snafu(display("the page address of a node is needed: --node or GERANIUM_NODES"))]
    NoNode,
    /// A node's page can't be reached.
    #[snafu(display("the node at {addr} can't be reached: {source}"))]
    NodeUnreachable {
        /// Address of its page.
        addr: SocketAddr,
        /// What the connection ended with.
        source: attohttpc::Error,
    },
    /// A node's page answered with something unexpected.
    #[snafu(display("the node at {addr} answered with something unexpected: {reason}"))]
    UnexpectedResponse {
        /// Address of its page.
        addr: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
    /// The objectives aren't of the expected shape.
    #[snafu(display("{}: {source}", path.display()))]
    BadObjectives {
        /// The file.
        path: PathBuf,
        /// What the parser found.
        source: serde_json::Error,
    },
    /// An objective leaves nothing to spare, or promises nothing.
    #[snafu(display("the objective of {service} needs shares above 0 and below 1, and a latency"))]
    InvalidObjective {
        /// The service.
        service: String,
    },
    /// A file can't be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A line of the sample file isn't a sample.
    #[snafu(display("{}, line {line}: {source}", path.display()))]
    BadSample {
        /// The file.
        path: PathBuf,
        /// The line.
        line: usize,
        /// What the parser found.
        source: serde_json::Error,
    },
    /// The picture can't be drawn.
    #[snafu(display("the picture can't be drawn: {reason}"))]
    Picture {
        /// What the library said.
        reason: String,
    },
}

impl BurnError {
    /// Returns the numbered code, from which the exit status is derived.
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
