//! Why a question to another node got no answer.

use snafu::Snafu;

/// A question without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum LinkError {
    /// It certainly never left this process.
    #[snafu(display("the question was not sent"))]
    NotSent,
    /// It was handed to the connection, which then broke.
    #[snafu(display("the connection broke after the question was sent"))]
    Broke,
    /// It was sent, and no answer came in time.
    #[snafu(display("no answer came in time"))]
    TimedOut,
}
