//! Settings of the demo.

use std::path::PathBuf;

use clap::Args;

/// Settings of the demo.
#[derive(Debug, Clone, Args)]
pub struct DemoOptions {
    /// Directory that holds a directory of presets for each user.
    #[arg(long, env = "GERANIUM_EXAMPLES", default_value = "examples")]
    pub examples: PathBuf,
    /// Seconds of load.
    #[arg(long, env = "GERANIUM_DEMO_SECONDS", default_value_t = 24)]
    pub seconds: u64,
    /// Requests a second for each user's deployment.
    #[arg(long, env = "GERANIUM_DEMO_RATE", default_value_t = 200.0)]
    pub rate: f64,
}
