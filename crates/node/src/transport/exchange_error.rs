//! Failures of an HTTP exchange over a connection.

use snafu::Snafu;

/// Failure of an HTTP exchange, by whether the request may have been sent.
#[derive(Debug, Snafu)]
pub enum ExchangeError {
    /// No part of the request left this process.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Text of the underlying error.
        reason: String,
    },
    /// No part of the request left this process: the peer refused or reset the connection.
    #[snafu(display("not sent: {reason}"))]
    Refused {
        /// Text of the underlying error.
        reason: String,
    },
    /// Some or all of the request may have arrived at the peer.
    #[snafu(display("connection broke after sending: {reason}"))]
    ResponseLost {
        /// Text of the underlying error.
        reason: String,
    },
}
