//! Faults of a backend server.

/// Fault of a backend server, which every run then has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EndpointFault {
    /// None.
    #[default]
    Sound,
    /// Refuses without running.
    Sheds,
    /// Runs, and closes the connection without an answer.
    LosesAnswer,
    /// Runs, and answers to another request.
    CrossesAnswer,
    /// Runs, and answers without the proof that the answer is its own.
    Unsigned,
    /// Runs, and answers with an encoded body.
    Encoded,
    /// Runs, and sends its answer in chunks, without telling a length.
    Chunks,
    /// Runs, and fails.
    Fails,
    /// Crashes when it runs a request whose path holds `crash`.
    CrashesOnRequest,
    /// Crashes so, and listens again at once under its identifier, as a later start.
    RestartsOnRequest,
}
