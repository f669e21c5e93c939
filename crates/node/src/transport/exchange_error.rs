//! Failures of a request sent over a connection.

use snafu::Snafu;

/// Failure of a request sent over a connection.
#[derive(Debug, Snafu)]
pub enum ExchangeError {
    /// Nothing of the request left this process.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// What was met.
        reason: String,
    },
    /// Nothing of the request left this process: the address takes no connections.
    #[snafu(display("not sent: {reason}"))]
    Refused {
        /// What was met.
        reason: String,
    },
    /// Some or all of the request may have arrived.
    #[snafu(display("broke after sending: {reason}"))]
    ResponseLost {
        /// What was met.
        reason: String,
    },
}
