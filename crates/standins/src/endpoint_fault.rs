//! Faults that a backend server can be given.

/// Fault that affects every request at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointFault {
    /// No fault.
    #[default]
    Sound,
    /// Responds with 503 without running the request, and says so in a header.
    Sheds,
    /// Runs the request and closes the connection without a response.
    LosesAnswer,
    /// Runs the request and responds with the identifier of another request.
    CrossesAnswer,
    /// Runs the request and responds with 421 and the identifier of another request.
    CrossesRefusal,
    /// Runs the request and responds without a signature.
    Unsigned,
    /// Runs the request and responds with a `Content-Encoding`.
    Encoded,
    /// Runs the request and sends a chunked response without a length.
    Chunks,
    /// Runs the request and responds with 500.
    Fails,
    /// Crashes when it runs a request whose path contains `crash`.
    CrashesOnRequest,
    /// Appears to restart when it runs a request whose path contains `crash`.
    ///
    /// The connection closes without a response, and the server goes on under the same
    /// identifier with a later start time.
    RestartsOnRequest,
}
