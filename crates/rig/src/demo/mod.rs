//! Both users' deployments at today's size, under load and faults.
//!
//! [`run_demo`] starts both fleets, sends each a mixed load through all its
//! nodes, puts other presets in force, kills two nodes and a backend server
//! and brings them back. What it reports comes from the callers' side, from
//! the backend servers' journals and from polling the nodes' versions; what a
//! node says of runs isn't taken.

mod demo_line;
mod demo_options;
mod demo_report;
mod demo_run;
mod deployment_demo;
mod fault_script;

pub use demo_line::DemoLine;
pub use demo_options::DemoOptions;
pub use demo_report::{DemoReport, DeploymentReport};
pub use demo_run::run_demo;
pub use fault_script::FaultScript;
