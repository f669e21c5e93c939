//! Command-line options of the demo.

use clap::Args;

/// Options of the demo.
#[derive(Debug, Clone, Args)]
pub struct DemoOptions {
    /// Seconds of each step: normal load, failures, recovered.
    #[arg(long, env = "GERANIUM_SECONDS", default_value_t = 5)]
    pub seconds: u64,
    /// Requests per second at each node.
    #[arg(long, env = "GERANIUM_RATE", default_value_t = 20.0)]
    pub rate: f64,
}
