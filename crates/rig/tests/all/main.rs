//! Tests of the rig and of the load tool against stand-ins.

mod demo_reports;
mod fleets;
mod load_checks;
mod mixes;
mod processes;
mod soaks;
mod watching;
