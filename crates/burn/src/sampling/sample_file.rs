//! File that stores samples between runs, one JSON object per line.

use std::{
    fs::{File, OpenOptions},
    io::{BufRead, BufReader, ErrorKind, Write},
    path::PathBuf,
};

use snafu::ResultExt;

use super::FleetSample;
use crate::{BurnError, burn_error::FileSnafu, json_text::json_text};

/// File that stores samples, oldest first.
#[derive(Debug, Clone)]
pub struct SampleFile {
    path: PathBuf,
}

impl SampleFile {
    /// Creates a handle of the file at `path`, which need not exist.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into() }
    }

    /// Passes each stored sample to `on_sample`, oldest first.
    ///
    /// A killed run or a full disk can leave an incomplete last line. The file is
    /// truncated before that line, since a sample appended to it would make both
    /// unreadable.
    ///
    /// # Errors
    ///
    /// Returns [`BurnError::File`] when the file can't be read or truncated, or
    /// [`BurnError::BadSample`] with the number of an invalid line.
    pub fn read(&self, mut on_sample: impl FnMut(FleetSample)) -> Result<(), BurnError> {
        let path = &self.path;
        let file = match File::open(path) {
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(()),
            opened => opened.context(FileSnafu { path })?,
        };
        let mut reader = BufReader::new(file);
        let mut text = Vec::new();
        let mut complete_bytes = 0;
        for line in 1.. {
            text.clear();
            reader
                .read_until(b'\n', &mut text)
                .context(FileSnafu { path })?;
            if text.is_empty() {
                return Ok(());
            }
            if text.last() != Some(&b'\n') {
                return self.truncate(complete_bytes);
            }
            complete_bytes += text.len() as u64;
            let sample = serde_json::from_slice(&text).map_err(|source| BurnError::BadSample {
                path: path.clone(),
                line,
                source,
            })?;
            on_sample(sample);
        }
        Ok(())
    }

    /// Appends a sample, creating the file if needed.
    ///
    /// The line is written in one call, so a killed run leaves at most one
    /// incomplete line.
    ///
    /// # Errors
    ///
    /// Returns [`BurnError::File`] when the file can't be opened or written.
    pub fn append(&self, sample: &FleetSample) -> Result<(), BurnError> {
        let path = &self.path;
        let line = json_text(sample) + "\n";
        let mut file = OpenOptions::new()
            .append(true)
            .create(true)
            .open(path)
            .context(FileSnafu { path })?;
        file.write_all(line.as_bytes()).context(FileSnafu { path })
    }

    fn truncate(&self, complete_bytes: u64) -> Result<(), BurnError> {
        let path = &self.path;
        let opened = OpenOptions::new().write(true).open(path);
        let truncated = opened.and_then(|file| file.set_len(complete_bytes));
        truncated.context(FileSnafu { path })
    }
}
