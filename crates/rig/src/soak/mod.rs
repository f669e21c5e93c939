//! Many failures at once, drawn from a seed, against a small fleet.
//!
//! A [`FailurePlan`] draws which failures happen and when; the same seed and
//! length give the same plan. The run carries it out under mixed load while a
//! thread polls what each node has in force, and then holds what callers were
//! told against the backend servers' journals. No promise is judged by what a
//! node says about runs.

mod breach;
mod failure_actor;
mod failure_kind;
mod failure_plan;
mod final_check;
mod load_check;
mod past_client;
mod soak_fleet;
mod soak_line;
mod soak_options;
mod soak_run;
mod version_watch;

pub use breach::Breach;
pub use failure_kind::FailureKind;
pub use failure_plan::{FailurePlan, PlannedFailure};
pub use soak_line::SoakLine;
pub use soak_options::SoakOptions;
pub use soak_run::run_soak;
pub use version_watch::VersionSightings;
