//! Command line of the soak.

use std::path::PathBuf;

use clap::Args;

/// Options of `geranium-rig soak`.
#[derive(Debug, Clone, Args)]
pub struct SoakOptions {
    /// Seed that the failures are drawn from.
    #[arg(long)]
    pub seed: u64,
    /// Seconds of load; failures end after four fifths of it.
    #[arg(long, default_value_t = 60)]
    pub seconds: u64,
    /// Directory for the schedule, the result and, after a breach, all logs
    /// and journals.
    #[arg(long)]
    pub out: Option<PathBuf>,
}
