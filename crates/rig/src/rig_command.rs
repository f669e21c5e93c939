//! Command line of the rig.

use clap::{Parser, Subcommand};

use crate::{demo::DemoOptions, scale::ScaleOptions, soak::SoakOptions};

/// Runs whole fleets on this machine.
#[derive(Debug, Parser)]
#[command(name = "geranium-rig", version)]
pub struct RigOptions {
    /// What to run.
    #[command(subcommand)]
    pub command: RigCommand,
}

/// What to run; each experiment has a module of its own.
#[derive(Debug, Subcommand)]
pub enum RigCommand {
    /// Both users' deployments at today's size, under load and faults.
    Demo(DemoOptions),
    /// Runs fleets of several sizes and measures what control costs.
    Scale(ScaleOptions),
    /// Many failures at once, drawn from a seed, and all promises checked.
    Soak(SoakOptions),
}
