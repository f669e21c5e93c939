//! Tests of the sample file.

use std::{fs, path::PathBuf};

use geranium_burn::{BurnError, FleetSample, SampleFile};

use crate::support::{counts, missing, node, sample};

/// Returns a path at which no file exists; each test uses its own name.
fn unused_path(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_file(&path);
    path
}

fn read(file: &SampleFile) -> Result<Vec<FleetSample>, BurnError> {
    let mut samples = Vec::new();
    file.read(|sample| samples.push(sample))?;
    Ok(samples)
}

/// A run is killed, or the disk fills up, while a sample is appended. The next
/// run must read all complete samples and append after them.
#[test]
fn an_unfinished_line_costs_only_itself() {
    let path = unused_path("burn-unfinished.jsonl");
    let file = SampleFile::new(&path);
    assert!(read(&file).unwrap().is_empty(), "no file yet");
    let mut first = sample(1, [node("hofdi-1", 1, counts(9, 1, 2))]);
    first.missing.push(missing("hofdi-2"));
    let second = sample(2, []);
    file.append(&first).unwrap();
    file.append(&second).unwrap();
    let complete = fs::read_to_string(&path).unwrap();
    fs::write(&path, &complete[..complete.len() - 9]).unwrap();
    assert_eq!(read(&file).unwrap(), [first.clone()]);
    file.append(&second).unwrap();
    assert_eq!(read(&file).unwrap(), [first, second]);
}

/// A complete line of the file is invalid, for example after an edit by hand.
/// Skipping it would silently lose counts, so the run must fail with its number.
#[test]
fn an_invalid_line_is_reported_with_its_number() {
    let path = unused_path("burn-broken.jsonl");
    let file = SampleFile::new(&path);
    file.append(&sample(1, [])).unwrap();
    let line = fs::read_to_string(&path).unwrap();
    fs::write(&path, format!("{line}{{}}\n{line}")).unwrap();
    let error = read(&file).unwrap_err();
    assert!(error.to_string().contains("line 2"), "{error}");
    assert_eq!(error.code().number(), 503);
}
