//! Tests of the burn report, one module a subject.

mod histories;
mod pages;
mod process;
mod reports;
mod resets;
mod sample_files;
mod support;
