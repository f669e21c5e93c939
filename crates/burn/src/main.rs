//! Command line program that prints the burn report.

use std::{
    io::{IsTerminal, stdout},
    process::ExitCode,
};

use clap::Parser;
use geranium_burn::{BurnReport, BurnRun, Command, Invocation, OutputFormat, exit_status};

/// Escape sequence that moves the cursor home and clears the screen.
const CLEAR_SCREEN: &str = "\x1b[H\x1b[2J";

fn main() -> ExitCode {
    let invocation = Invocation::parse();
    let format = invocation.output;
    let is_watch = matches!(invocation.command, Command::Watch { .. });
    let clears_screen = is_watch && format == OutputFormat::Text && stdout().is_terminal();
    let show = |report: &BurnReport| {
        let text = format.report(report);
        let clear = if clears_screen { CLEAR_SCREEN } else { "" };
        println!("{clear}{}", text.trim_end());
    };
    let warn = |error: &_| eprintln!("{}", format.error(error));
    let outcome = BurnRun::new(&invocation).and_then(|run| run.run(show, warn));
    match outcome {
        Ok(code) => exit_status(code).into(),
        Err(error) => {
            warn(&error);
            exit_status(error.code()).into()
        }
    }
}
