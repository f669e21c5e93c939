//! Open-loop load, judged by what callers receive.
//!
//! [`run_load`] sends requests on a schedule, whatever becomes of earlier
//! ones, and measures latency from the intended start: a stalled server can't
//! slow the load down and so hide its own delay. Every answer is checked for
//! being whole and the caller's own. [`LoadReport`] sums up what callers
//! received, and the [`TryRecord`]s are held against the backend servers'
//! journals by [`check_journals`].
//!
//! [`measure_added`] compares calls through a node with direct ones.

mod added_latency;
mod address_resolver;
mod answer_check;
mod arrival_schedule;
mod call_sender;
mod class_report;
mod file_check;
mod journal_check;
mod load_error;
mod load_options;
mod load_plan;
mod load_report;
mod load_run;
mod load_worker;
mod mix_entry;
mod once_order;
mod pair_report;
mod request_tally;
mod run_line;
mod target_group;
mod try_record;
mod version_check;

pub use added_latency::{AddedPlan, AddedReport, measure_added};
pub use arrival_schedule::{Arrival, ArrivalSchedule};
pub use class_report::ClassReport;
pub use file_check::FileCheck;
pub use journal_check::{JournalFindings, check_journals};
pub use load_error::LoadError;
pub use load_options::{AddedOptions, LoadCommand, LoadOptions, OutputForm, RunOptions};
pub use load_plan::LoadPlan;
pub use load_report::LoadReport;
pub use load_run::{LoadOutcome, run_load};
pub use mix_entry::MixEntry;
pub use pair_report::{PairReport, SpreadReport};
pub use run_line::{RunHow, RunLine};
pub use try_record::{AnswerVerdict, TryRecord};
pub use version_check::older_versions;
