//! Tests of the rig and of the load tool against stand-ins.

mod load_checks;
mod mixes;
mod processes;
mod watching;
