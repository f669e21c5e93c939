//! The operators' client: presets, activations and the fleet's state.
//!
//! [`Invocation`] is the command line. A [`Session`] holds what the commands share: the
//! metadata store, the encoding of configurations there ([`ConfigCodec`]) and the operator's
//! name. [`run`] executes one command and returns the text to print. A [`CtlError`] has a
//! numbered result code, from which [`exit_status`] derives the process's exit status.
//!
//! A preset is a named [`PresetDocument`] in the store. [`activate`] makes it the
//! configuration in force by compare-and-swap: the configuration, with its new version, and the
//! history entry are written together or not at all. [`write_with_retries`] repeats writes
//! whose response was lost or that found the store busy.

mod accounts;
mod commands;
mod ctl_error;
mod exit_status;
mod explain;
mod fleet;
mod invocation;
mod output_format;
mod presets;
mod retry_schedule;
mod session;
mod utc_time;
mod write_outcome;
mod write_stamp;

pub use accounts::{KeyChange, KeyChangeError, KeySelector, KeyText, KeyTextError, put_key_change};
pub use commands::run;
pub use ctl_error::CtlError;
pub use exit_status::exit_status;
pub use explain::{LogScanner, RequestTimeline, TimelineEvent};
pub use fleet::{AdminClient, FleetStatus};
pub use invocation::{AccountCommand, Command, Invocation, PresetSource};
pub use output_format::OutputFormat;
pub use presets::{
    Activation, ActivationRecord, ActivationRequest, ConfigCodec, KeyChanger, PresetCatalogue,
    PresetDiff, PresetDocument, PresetName, PresetNameError, PresetRecord, activate,
    activation_history,
};
pub use retry_schedule::RetrySchedule;
pub use session::Session;
pub use write_outcome::{WriteOutcome, write_with_retries};
pub use write_stamp::WriteStamp;
