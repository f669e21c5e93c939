//! Lines of a backend server's journal.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::{LoadError, load_error::BadJournalSnafu};

/// How a run ended, by the backend server's journal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunHow {
    /// It hadn't ended when the journal was read, or the process died.
    Running,
    /// Its work was done.
    Ran,
    /// It was refused, and no work was done.
    Shed,
    /// It was given up midway.
    Cancelled,
    /// Its work was done, and its answer broken off.
    Broke,
}

/// What the check needs of a journal record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLine {
    /// Number of the run within its process.
    pub run: u64,
    /// Start of the process in milliseconds since the Unix epoch.
    pub process: u64,
    /// Identifier of the request.
    pub request_id: String,
    /// At-most-once ticket.
    pub ticket: Option<String>,
    /// How it ended.
    pub how: RunHow,
}

impl RunLine {
    /// Reads a journal file's text, with the last line of each run.
    ///
    /// # Errors
    ///
    /// Returns an error if a line isn't a record.
    pub fn parse_file(text: &str) -> Result<Vec<Self>, LoadError> {
        let mut lines = BTreeMap::new();
        for (index, text) in text.lines().enumerate() {
            let line: Self =
                serde_json::from_str(text).context(BadJournalSnafu { line: index + 1 })?;
            lines.insert((line.process, line.run), line);
        }
        Ok(lines.into_values().collect())
    }

    /// Reports whether work began: a run that was given up counts.
    pub fn ran(&self) -> bool {
        self.how != RunHow::Shed
    }
}
