//! Scripts of the independent review: `review-harness CASE FOLDER`.

mod cases;
mod endpoint;
mod fleet;
mod http;
mod record;

use std::{path::PathBuf, process::ExitCode};

use fleet::Fleet;

/// Result of a script: whether the rule held, or why it couldn't run.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("review-harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let directory = PathBuf::from(std::env::var("REVIEW_TMP").unwrap_or_else(|_| "/tmp".into()));
    let mut fleet = Fleet::new(9, &directory);
    let verdict = cases::run(case, &mut fleet, has_trouble);
    match &verdict {
        Ok(true) => fleet.record.note("the rule held"),
        Ok(false) => fleet.record.note("the rule was broken"),
        Err(reason) => fleet
            .record
            .note(&format!("the case couldn't run: {reason}")),
    }
    fleet
        .record
        .write(&PathBuf::from(folder).join("record.txt"));
    drop(fleet);
    match verdict {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
