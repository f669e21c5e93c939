//! Tests of the decisions, without network or clock.

mod budget;
mod config;
mod fleet;
mod fleet_load;
mod gate;
mod guide;
mod link;
mod poison;
mod queue;
mod queue_load;
