//! Tests of the rig, one module per subject.

mod links;
mod promises;
mod soaks;
