//! Demo and fault soak with whole fleets.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use geranium_rig::{
    demo::{DemoOptions, run_demo},
    soak::{SoakOptions, run_soak},
};
use tokio::runtime::Runtime;

/// Run whole fleets on one machine: a demo and a fault soak.
#[derive(Debug, Parser)]
#[command(version)]
struct RigOptions {
    #[command(subcommand)]
    command: RigCommand,
}

#[derive(Debug, Subcommand)]
enum RigCommand {
    /// Show both users' fleets under load, with changes of preset and kills.
    Demo(DemoOptions),
    /// Inject random faults and check every promise.
    Soak(SoakOptions),
}

fn main() -> ExitCode {
    let options = RigOptions::parse();
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(cause) => {
            eprintln!("geranium-rig: {cause}");
            return ExitCode::from(2);
        }
    };
    let result = match &options.command {
        RigCommand::Demo(options) => runtime.block_on(run_demo(options)),
        RigCommand::Soak(options) => runtime.block_on(run_soak(options)),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("geranium-rig: {error}");
            ExitCode::from(2)
        }
    }
}
