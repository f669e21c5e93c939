//! `explain`.

use std::{
    fs::File,
    io::{self, BufReader},
    path::{Path, PathBuf},
};

use snafu::ResultExt;

use crate::{
    CtlError,
    ctl_error::{FileSnafu, LogIncompleteSnafu, UnknownRequestSnafu},
    explain::{LogScan, RequestStory},
};

/// Stands for standard input.
const STDIN: &str = "-";

/// Tells what became of a request, out of log files.
pub fn explain(request: &str, files: &[PathBuf]) -> Result<RequestStory, CtlError> {
    let mut scan = LogScan::new(request);
    if files.is_empty() {
        read(&mut scan, Path::new(STDIN))?;
    }
    for path in files {
        read(&mut scan, path)?;
    }
    let story = scan.finish();
    if !story.events.is_empty() {
        return Ok(story);
    }
    let lines = story.dropped_lines;
    if lines > 0 {
        return LogIncompleteSnafu { request, lines }.fail();
    }
    UnknownRequestSnafu { request }.fail()
}

fn read(scan: &mut LogScan, path: &Path) -> Result<(), CtlError> {
    let result = if path == Path::new(STDIN) {
        scan.read(io::stdin().lock())
    } else {
        File::open(path).and_then(|file| scan.read(BufReader::new(file)))
    };
    result.context(FileSnafu { path })
}
