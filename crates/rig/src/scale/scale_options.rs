//! Command line of the scale experiment.

use std::path::PathBuf;

use clap::Args;

/// Options of `geranium-rig scale`.
#[derive(Debug, Clone, Args)]
pub struct ScaleOptions {
    /// Sizes of the fleets, in nodes.
    #[arg(long, value_delimiter = ',', default_value = "10,25,50,100")]
    pub sizes: Vec<usize>,
    /// Seconds of idle measurement.
    #[arg(long, default_value_t = 10)]
    pub idle_s: u64,
    /// Changes of configuration per size.
    #[arg(long, default_value_t = 10)]
    pub changes: u16,
    /// Restarts per size.
    #[arg(long, default_value_t = 5)]
    pub restarts: usize,
    /// Directory for `scale.json`, `scale.md` and the plots.
    #[arg(long, default_value = "out")]
    pub out: PathBuf,
}
