//! Command line of the load tool.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Args, Parser, Subcommand, ValueEnum};

use crate::{AddedPlan, LoadPlan, MixEntry};

/// Sends load and reports what callers received.
#[derive(Debug, Parser)]
#[command(name = "geranium-load", version)]
pub struct LoadOptions {
    /// What to do.
    #[command(subcommand)]
    pub command: LoadCommand,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum LoadCommand {
    /// Sends a mix of requests on a schedule and checks each answer.
    Run(RunOptions),
    /// Measures what a node adds to a call.
    Added(AddedOptions),
}

/// Form of the result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum OutputForm {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Settings of a load.
#[derive(Debug, Args)]
pub struct RunOptions {
    /// Callers' address of a node; may stand several times.
    #[arg(
        long = "target",
        env = "GERANIUM_LOAD_TARGETS",
        value_delimiter = ',',
        required = true
    )]
    pub targets: Vec<SocketAddr>,
    /// Kind of request: `short:WEIGHT:PATH`, `once:WEIGHT:PATH:SERVICE` or
    /// `bulk:WEIGHT:PATH:BYTES`; may stand several times.
    #[arg(long, required = true)]
    pub mix: Vec<MixEntry>,
    /// Requests a second.
    #[arg(long, env = "GERANIUM_LOAD_RATE", default_value_t = 100.0)]
    pub rate: f64,
    /// Seconds over which requests start.
    #[arg(long, env = "GERANIUM_LOAD_SECONDS", default_value_t = 10.0)]
    pub seconds: f64,
    /// Number of callers.
    #[arg(long, default_value_t = 20)]
    pub callers: u32,
    /// Share of the requests that one caller sends besides its even share.
    #[arg(long, default_value_t = 0.0)]
    pub hot_share: f64,
    /// Number of keys that requests touch.
    #[arg(long, default_value_t = 1_000)]
    pub keys: u32,
    /// Share of the requests that touch one key besides its even share.
    #[arg(long, default_value_t = 0.0)]
    pub hot_key_share: f64,
    /// Requests under way at a time at most, an equal share at each target.
    #[arg(long, default_value_t = 512)]
    pub workers: usize,
    /// Milliseconds after which callers give up a short request.
    #[arg(long, default_value_t = 3_000)]
    pub patience_ms: u64,
    /// Tries of a request at most.
    #[arg(long, default_value_t = 4)]
    pub tries: u32,
    /// Seed of all random choices.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Form of the result.
    #[arg(long, value_enum, default_value_t = OutputForm::Text)]
    pub output: OutputForm,
    /// File for one JSON line a try.
    #[arg(long)]
    pub outcomes: Option<PathBuf>,
    /// Journal file of a backend server to hold the outcomes against; may
    /// stand several times.
    #[arg(long)]
    pub journal: Vec<PathBuf>,
}

impl From<&RunOptions> for LoadPlan {
    fn from(options: &RunOptions) -> Self {
        Self {
            rate: options.rate,
            duration: Duration::from_secs_f64(options.seconds.max(0.0)),
            callers: options.callers,
            hot_share: options.hot_share,
            keys: options.keys,
            hot_key_share: options.hot_key_share,
            workers: options.workers,
            patience: Duration::from_millis(options.patience_ms),
            tries: options.tries,
            seed: options.seed,
            ..Self::new(options.targets.clone(), options.mix.clone())
        }
    }
}

/// Settings of a comparison.
#[derive(Debug, Args)]
pub struct AddedOptions {
    /// Address of a backend server.
    #[arg(long)]
    pub direct: SocketAddr,
    /// Callers' address of a node.
    #[arg(long)]
    pub node: SocketAddr,
    /// Path and query to call.
    #[arg(long)]
    pub path: String,
    /// Pairs of calls over kept-alive and over new connections each.
    #[arg(long, default_value_t = 1_000)]
    pub pairs: u32,
    /// Milliseconds between pairs.
    #[arg(long, default_value_t = 1)]
    pub pause_ms: u64,
    /// Form of the result.
    #[arg(long, value_enum, default_value_t = OutputForm::Text)]
    pub output: OutputForm,
}

impl From<&AddedOptions> for AddedPlan {
    fn from(options: &AddedOptions) -> Self {
        Self {
            direct: options.direct,
            node: options.node,
            path: options.path.clone(),
            pairs: options.pairs,
            pause: Duration::from_millis(options.pause_ms),
        }
    }
}
