//! Randomized faults on a fleet of real processes, and a check that its promises
//! hold.
//!
//! A [`SoakPlan`] is drawn from a seed: faults of processes, links, store and
//! backend servers, which overlap and come in series. [`run_soak`] starts a fleet
//! with callers, executes the plan, lets the fleet recover, and passes what callers
//! and backend servers recorded to [`check_promises`]. Every fault is injected from
//! outside the nodes. The soak ends only processes that it started, by their ids.

mod breach;
mod fault_injector;
mod fault_kind;
mod fault_overlay;
mod notice_check;
mod promise_check;
mod recovery_check;
mod soak_evidence;
mod soak_options;
mod soak_plan;
mod soak_report;
mod soak_run;
mod version_probe;

pub use breach::{Breach, Promise};
pub use fault_kind::FaultKind;
pub use promise_check::check_promises;
pub use soak_evidence::{DrainObservation, FaultSpan, SoakEvidence};
pub use soak_options::SoakOptions;
pub use soak_plan::{PlannedFault, SoakPlan};
pub use soak_report::SoakReport;
pub use soak_run::run_soak;
