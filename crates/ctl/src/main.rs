//! Thin process around the operators' client.

use std::process::ExitCode;

use clap::Parser;
use geranium_ctl::{Invocation, Session, exit_status, run};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let invocation = Invocation::parse();
    let outcome = Session::try_from(&invocation)
        .and_then(|session| run(&session, &invocation.command, invocation.output));
    match outcome {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{}", invocation.output.error(&error));
            exit_status(error.code()).into()
        }
    }
}
