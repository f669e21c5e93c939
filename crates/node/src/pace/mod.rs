//! Load and pace that the local backend server reports in its responses.
//!
//! A [`ServerLoad`] is what one response says. [`PaceTracker`] says how long work takes now, and
//! whether the reported [`PaceRatio`] helps to predict it. [`PaceWatch`] decides when operators are
//! told. None of these does I/O. [`PaceReporter`] logs and counts.

mod pace_ratio;
mod pace_reporter;
mod pace_tracker;
mod pace_watch;
mod paced_run;
mod server_load;

pub use pace_ratio::{PaceError, PaceRatio};
pub use pace_reporter::{PaceGauges, PaceReporter};
pub use pace_tracker::PaceTracker;
pub use pace_watch::{PaceChange, PaceWatch};
pub use paced_run::{FinishedRun, RunPrediction};
pub use server_load::{LoadNotice, ServerLoad, ServerLoadError};
