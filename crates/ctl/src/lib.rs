//! The operators' client: presets, activations and the fleet's state.
//!
//! [`Invocation`] is the command line. A [`Session`] holds what commands act
//! on: the platform's store, the nodes' admin addresses, and the
//! [`WriteStamp`] that names the operator. [`run`] executes one command and
//! returns what to print; a [`CtlError`] carries a numbered result code, from
//! which [`exit_status`] derives the process's exit status.
//!
//! Every write is a compare-and-swap. [`settle`] takes one through lost
//! answers, and [`activate`] moves the in-force record with it.

mod commands;
mod ctl_error;
mod documents;
mod exit_status;
mod explain;
mod fleet;
mod invocation;
mod output_format;
mod patience;
mod presets;
mod session;
mod settled_write;
mod utc_time;
mod write_stamp;

pub use commands::run;
pub use ctl_error::CtlError;
pub use documents::{CheckedFile, PresetDiff};
pub use exit_status::exit_status;
pub use explain::{LogScan, RequestStory, StoryEvent};
pub use fleet::{AdminClient, FleetStatus, FleetSurvey, NodeStatus};
pub use invocation::{Command, Invocation, PresetSource};
pub use output_format::OutputFormat;
pub use patience::Patience;
pub use presets::{
    Activation, ActivationRequest, PresetCatalogue, PresetPointer, StoredPreset, activate,
    activation_history,
};
pub use session::Session;
pub use settled_write::{GuardedWrite, Settled, settle};
pub use write_stamp::WriteStamp;
