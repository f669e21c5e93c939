//! Demo and experiments with whole fleets.

use std::process::ExitCode;

use clap::Parser;
use geranium_rig::{RigCommand, RigOptions, demo, scale, soak};

fn main() -> ExitCode {
    let result = match RigOptions::parse().command {
        RigCommand::Demo(options) => demo::run_demo(&options),
        RigCommand::Scale(options) => scale::run_scale(&options),
        RigCommand::Soak(options) => soak::run_soak(&options),
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
