//! The command `explain`.

use std::{
    fs::File,
    io::{self, BufReader},
    path::{Path, PathBuf},
};

use snafu::ResultExt;

use crate::{
    CtlError,
    ctl_error::{FileSnafu, LogIncompleteSnafu, UnknownRequestSnafu},
    explain::{LogScanner, RequestTimeline},
};

/// File name that means standard input.
const STDIN: &str = "-";

/// Returns the timeline of a request from log files.
///
/// Without a file, standard input is read. `request` is the identifier of the caller's attempt.
///
/// # Errors
///
/// Returns [`CtlError::File`] if a file can't be read. If no line names the request, returns
/// [`CtlError::LogIncomplete`] if the nodes dropped or withheld lines, and otherwise
/// [`CtlError::UnknownRequest`].
pub fn explain(request: &str, files: &[PathBuf]) -> Result<RequestTimeline, CtlError> {
    let mut scanner = LogScanner::new(request);
    if files.is_empty() {
        read_log(&mut scanner, Path::new(STDIN))?;
    }
    for path in files {
        read_log(&mut scanner, path)?;
    }
    let timeline = scanner.finish();
    if !timeline.events.is_empty() {
        return Ok(timeline);
    }
    let lines = timeline.missing_lines;
    if lines > 0 {
        return LogIncompleteSnafu { request, lines }.fail();
    }
    UnknownRequestSnafu { request }.fail()
}

/// Reads the log at `path`, or standard input if the path is [`STDIN`].
fn read_log(scanner: &mut LogScanner, path: &Path) -> Result<(), CtlError> {
    let result = if path == Path::new(STDIN) {
        scanner.read(io::stdin().lock())
    } else {
        File::open(path).and_then(|file| scanner.read(BufReader::new(file)))
    };
    result.context(FileSnafu { path })
}
