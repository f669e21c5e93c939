//! Samples kept between runs, one JSON line each.

use std::{
    fs::{File, OpenOptions},
    io::{BufRead, BufReader, ErrorKind, Write},
    path::PathBuf,
};

use snafu::ResultExt;

use super::FleetSample;
use crate::{BurnError, burn_error::FileSnafu, json_text::json_text};

/// A file of samples, oldest first.
#[derive(Debug, Clone)]
pub struct SampleFile {
    path: PathBuf,
}

impl SampleFile {
    /// Uses the file at `path`, which need not exist.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self { path: path.into() }
    }

    /// Hands each kept sample to `take`, oldest first.
    ///
    /// A last line without its end, which a killed run or a full disk leaves,
    /// is cut off: the next sample appended to it would make both unreadable.
    ///
    /// # Errors
    ///
    /// [`BurnError::File`], or [`BurnError::BadSample`] with the line.
    pub fn read(&self, mut take: impl FnMut(FleetSample)) -> Result<(), BurnError> {
        let path = &self.path;
        let file = match File::open(path) {
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(()),
            opened => opened.context(FileSnafu { path })?,
        };
        let mut reader = BufReader::new(file);
        let mut text = Vec::new();
        let mut whole_bytes = 0;
        for line in 1.. {
            text.clear();
            reader
                .read_until(b'\n', &mut text)
                .context(FileSnafu { path })?;
            if text.is_empty() {
                return Ok(());
            }
            if text.last() != Some(&b'\n') {
                return self.cut(whole_bytes);
            }
            whole_bytes += text.len() as u64;
            let sample = serde_json::from_slice(&text).map_err(|source| BurnError::BadSample {
                path: path.clone(),
                line,
                source,
            })?;
            take(sample);
        }
        Ok(())
    }

    /// Appends a sample.
    ///
    /// The line goes out in one write, so that a killed run leaves at most one
    /// unfinished line.
    ///
    /// # Errors
    ///
    /// [`BurnError::File`].
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

    fn cut(&self, whole_bytes: u64) -> Result<(), BurnError> {
        let path = &self.path;
        let opened = OpenOptions::new().write(true).open(path);
        let cut = opened.and_then(|file| file.set_len(whole_bytes));
        cut.context(FileSnafu { path })
    }
}
