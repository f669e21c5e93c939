//! Tests across programs: real processes, stand-ins and failures.
//!
//! Each test starts its own small fleet. Limits on waiting are far above what
//! is needed, so that a busy machine doesn't change a verdict; no test asserts
//! how long something took.

mod answers;
mod at_most_once;
mod burn;
mod caller;
mod fleet;
mod hostile_callers;
mod leaving;
mod not_run;
mod operators;
mod poison;
mod presets;
mod settings_page;
mod unsized_answers;
