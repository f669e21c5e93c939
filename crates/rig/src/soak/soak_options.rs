//! Command-line options of a soak.

use std::path::PathBuf;

use clap::Args;

/// Options of a soak.
#[derive(Debug, Clone, Args)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a flag of its own on the command line"
)]
pub struct SoakOptions {
    /// First seed; each further run takes the next one.
    #[arg(long, env = "GERANIUM_SEED", default_value_t = 1)]
    pub seed: u64,
    /// Number of runs.
    #[arg(long, env = "GERANIUM_RUNS", default_value_t = 1)]
    pub runs: u64,
    /// Seconds during which faults start.
    #[arg(long, env = "GERANIUM_SECONDS", default_value_t = 20)]
    pub seconds: u64,
    /// Number of instances; each has a node process.
    #[arg(long, env = "GERANIUM_INSTANCES", default_value_t = 12)]
    pub nodes: usize,
    /// Requests per second at each node.
    #[arg(long, env = "GERANIUM_RATE", default_value_t = 15.0)]
    pub rate: f64,
    /// Apply the strict time bounds of promises: for a quiet machine.
    #[arg(long, env = "GERANIUM_TIMED")]
    pub timed: bool,
    /// Leave out overlaid faults, to replay seeds that found a fault before there were
    /// any.
    #[arg(long)]
    pub plain: bool,
    /// Leave out store restores and crashing requests, to replay seeds that found a
    /// fault before there were any.
    #[arg(long)]
    pub without_last: bool,
    /// Leave out backend servers that name limits or say in responses that they leave, to replay
    /// seeds that found a fault before there were any.
    #[arg(long)]
    pub without_notices: bool,
    /// Leave out backend servers that leave while late heartbeats and health checks say that they
    /// are ready, to replay seeds that found a fault before there were any.
    #[arg(long)]
    pub without_leavings: bool,
    /// Print the plan of each run.
    #[arg(long)]
    pub plan: bool,
    /// File to which each run's report is appended as one line of JSON.
    #[arg(long, env = "GERANIUM_SOAK_LINES")]
    pub lines: Option<PathBuf>,
}
