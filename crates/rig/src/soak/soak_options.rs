//! Settings of a soak.

use std::path::PathBuf;

use clap::Args;

/// Settings of a soak.
#[derive(Debug, Clone, Args)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a flag of its own on the command line"
)]
pub struct SoakOptions {
    /// First seed; each further run takes the next one.
    #[arg(long, env = "GERANIUM_SEED", default_value_t = 1)]
    pub seed: u64,
    /// Runs.
    #[arg(long, env = "GERANIUM_RUNS", default_value_t = 1)]
    pub runs: u64,
    /// Seconds in which faults begin.
    #[arg(long, env = "GERANIUM_SECONDS", default_value_t = 20)]
    pub seconds: u64,
    /// Instances; each has a node process.
    #[arg(long, env = "GERANIUM_INSTANCES", default_value_t = 12)]
    pub nodes: usize,
    /// Requests a second at each node.
    #[arg(long, env = "GERANIUM_RATE", default_value_t = 15.0)]
    pub rate: f64,
    /// Judge promises that have a time bound as well: for a quiet machine.
    #[arg(long, env = "GERANIUM_TIMED")]
    pub timed: bool,
    /// Leave out the faults that are laid over the others: seeds that found a fault
    /// before there were any are played so.
    #[arg(long)]
    pub plain: bool,
    /// Leave out copies of the store and crashing requests: seeds that found a fault before
    /// there were any are played so.
    #[arg(long)]
    pub without_last: bool,
    /// Print the plan of each run.
    #[arg(long)]
    pub plan: bool,
    /// File to which each run's line of JSON is appended.
    #[arg(long, env = "GERANIUM_SOAK_LINES")]
    pub lines: Option<PathBuf>,
}
