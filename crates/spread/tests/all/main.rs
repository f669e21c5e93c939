//! Tests of configuration spreading and membership.

mod fake_platform;
mod fleet;

mod budget;
mod configuration;
mod differential;
mod hostile_bytes;
mod links;
mod membership;
mod splits;
mod start;
