//! Fleets of several sizes: what control costs, and how fast a change arrives.
//!
//! For each size it starts real nodes in ten data centres and one stand-in
//! platform, announces a backend server to each node, and measures idle cost,
//! changes of configuration, a change while a watcher is killed, a change right
//! after an outage of the platform, and restarts. Beside it, in the same run,
//! stands the naive way: every node reads the whole document every second.

mod big_preset;
mod naive_fleet;
mod node_probe;
mod scale_fleet;
mod scale_options;
mod scale_point;
mod scale_report;
mod scale_run;

pub use scale_options::ScaleOptions;
pub use scale_point::{NaivePoint, ScalePoint};
pub use scale_run::run_scale;
