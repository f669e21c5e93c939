//! Scripts of the independent review: `review-harness CASE FOLDER`.

mod cases;
mod endpoint;
mod fleet;
mod http;
mod record;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
};

use fleet::Fleet;
use record::Record;

/// Result of a script: whether the rule held, or why it couldn't run.
pub type Verdict = Result<bool, String>;

/// Most nodes of a case.
const NODES_MAX: usize = 9;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("review-harness CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(path)) {
        Ok(record) => Arc::new(record),
        Err(cause) => {
            eprintln!("{path}: {cause}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let directory = PathBuf::from(std::env::var("REVIEW_TMP").unwrap_or_else(|_| "/tmp".into()));
    let mut fleet = Fleet::new(NODES_MAX, &directory, Arc::clone(&record));
    let verdict = cases::run(case, &mut fleet, has_trouble);
    drop(fleet);
    match verdict {
        Ok(true) => {
            record.note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.note("the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.note(&format!("the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}
