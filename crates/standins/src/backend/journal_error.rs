//! Errors of the journal's file.

use std::{io, path::PathBuf};

use snafu::Snafu;

/// A journal file that can't be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum JournalError {
    /// The file can't be opened or written.
    #[snafu(display("journal {}: {source}", path.display()))]
    Unusable {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// A line isn't a record.
    #[snafu(display("journal {}, line {line}: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// Line, from 1.
        line: usize,
        /// What the parser found.
        source: serde_json::Error,
    },
}
