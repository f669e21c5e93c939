//! Errors of the load tool.

use geranium_model::ResultCode;
use snafu::Snafu;

/// A plan or a journal that can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoadError {
    /// An entry of the mix isn't `CLASS:WEIGHT:PATH[:SERVICE_OR_BYTES]`.
    #[snafu(display("mix entry `{entry}`: {rule}"))]
    BadMixEntry {
        /// The entry.
        entry: String,
        /// The rule it breaks.
        rule: &'static str,
    },
    /// The plan can't be carried out.
    #[snafu(display("plan: {rule}"))]
    BadPlan {
        /// The rule it breaks.
        rule: &'static str,
    },
    /// A thread can't be started.
    #[snafu(display("worker thread: {source}"))]
    NoWorker {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A journal line isn't a record.
    #[snafu(display("journal line {line}: {source}"))]
    BadJournal {
        /// Line, from 1.
        line: usize,
        /// What the parser found.
        source: serde_json::Error,
    },
}

impl LoadError {
    /// Returns the numbered code that operators are shown.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::BadMixEntry { .. } | Self::BadPlan { .. } => ResultCode::BadSetting,
            Self::BadJournal { .. } | Self::NoWorker { .. } => ResultCode::FileUnreadable,
        }
    }
}
