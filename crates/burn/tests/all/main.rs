//! Tests of the burn report, one module per subject.

mod histories;
mod pages;
mod process;
mod reports;
mod resets;
mod sample_files;
mod support;
