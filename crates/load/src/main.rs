//! Load and latency experiments against nodes.

use std::{
    fs::{self, File},
    io::{BufWriter, Write},
    path::Path,
    process::ExitCode,
};

use clap::Parser;
use geranium_load::{
    AddedOptions, AddedPlan, LoadCommand, LoadOptions, LoadPlan, OutputForm, RunLine, RunOptions,
    TryRecord, check_journals, measure_added, run_load,
};
use snafu::{ResultExt, Whatever};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let result = match LoadOptions::parse().command {
        LoadCommand::Run(options) => run(&options),
        LoadCommand::Added(options) => added(&options).map(|()| true),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("geranium-load: {error}");
            ExitCode::from(2)
        }
    }
}

/// Sends a load and reports whether every promise about answers and runs held.
fn run(options: &RunOptions) -> Result<bool, Whatever> {
    let outcome = run_load(&LoadPlan::from(options)).whatever_context("the load")?;
    if let Some(path) = &options.outcomes {
        write_tries(path, &outcome.tries)
            .with_whatever_context(|_| format!("writing {}", path.display()))?;
    }
    let mut runs = Vec::new();
    for path in &options.journal {
        let text = fs::read_to_string(path)
            .with_whatever_context(|_| format!("reading {}", path.display()))?;
        runs.extend(RunLine::parse_file(&text).whatever_context("the journal")?);
    }
    let mut findings = check_journals(&outcome.tries, &runs);
    if options.journal.is_empty() {
        findings.answered_without_run.clear();
    }
    match options.output {
        OutputForm::Text => {
            println!("{}", outcome.report);
            println!("duplicate runs: {}", findings.duplicate_runs.len());
            println!("ran after not-run: {}", findings.ran_after_not_run.len());
        }
        OutputForm::Json => {
            let all = serde_json::json!({ "report": outcome.report, "findings": findings });
            println!("{all}");
        }
    }
    let total = outcome.report.total;
    Ok(total.wrong_answers == 0 && total.short_answers == 0 && findings.hold())
}

fn write_tries(path: &Path, tries: &[TryRecord]) -> std::io::Result<()> {
    let mut writer = BufWriter::new(File::create(path)?);
    for record in tries {
        serde_json::to_writer(&mut writer, record)?;
        writer.write_all(b"\n")?;
    }
    writer.flush()
}

fn added(options: &AddedOptions) -> Result<(), Whatever> {
    let report = measure_added(&AddedPlan::from(options));
    match options.output {
        OutputForm::Text => {
            println!("kept-alive connections\n{}", report.kept_alive);
            println!("new connections\n{}", report.new_connection);
            println!("failed: {}", report.failed);
        }
        OutputForm::Json => {
            println!(
                "{}",
                serde_json::to_string(&report).whatever_context("the report")?
            );
        }
    }
    Ok(())
}
