//! Errors of the rig.

use std::{io, path::PathBuf, time::Duration};

use snafu::Snafu;

/// A failure that keeps a fleet from running.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RigError {
    /// A program hasn't been built.
    #[snafu(display("program {} is missing: build all binaries of the workspace", path.display()))]
    MissingProgram {
        /// Path at which the program was expected.
        path: PathBuf,
    },
    /// A program can't be started.
    #[snafu(display("can't start process {name}: {source}"))]
    Process {
        /// Name of the process.
        name: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file can't be read or written.
    #[snafu(display("can't read or write {}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A link's listener can't be opened.
    #[snafu(display("can't open a link: {source}"))]
    Link {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A condition wasn't met in time.
    #[snafu(display("timeout after {} s: {what}", limit.as_secs()))]
    Timeout {
        /// Condition that wasn't met.
        what: String,
        /// Time allowed for the condition.
        limit: Duration,
    },
    /// The operators' client failed.
    #[snafu(display("geranium-ctl {command}: {answer}"))]
    Operator {
        /// Arguments of the command.
        command: String,
        /// Standard error of the command, or the error that kept it from starting.
        answer: String,
    },
}
