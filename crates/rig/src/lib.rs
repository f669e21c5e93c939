//! Running whole fleets as processes, for the demo, experiments and tests.
//!
//! A [`DeploymentLayout`] says which services stand where. [`FleetRun`] starts
//! it: one stand-in platform, and a [`BackendPair`] of node and stand-in
//! backend server for each instance. Dropping it ends every process that it
//! started, by process id, and nothing else. [`StatusWatch`] polls the nodes'
//! admin ports while something happens to the fleet.
//!
//! [`demo`] is the `geranium-rig demo` command; further experiments get a
//! module of their own beside it and a line in [`RigCommand`].

mod backend_pair;
mod child_process;
mod deployment_layout;
mod fleet_run;
mod free_ports;
mod load_mix;
mod node_status;
mod operator_client;
mod pair_place;
mod program_paths;
mod rig_command;
mod rig_error;
mod status_watch;
mod work_dir;

pub mod demo;
pub mod scale;
pub mod soak;

pub use backend_pair::{BackendPair, PairAddresses, PairPart};
pub use child_process::{ChildProcess, ProcessSignal};
pub use deployment_layout::{DeploymentLayout, ServiceLayout};
pub use fleet_run::FleetRun;
pub use free_ports::FreePorts;
pub use load_mix::load_mix;
pub use node_status::NodeStatus;
pub use operator_client::OperatorClient;
pub use program_paths::ProgramPaths;
pub use rig_command::{RigCommand, RigOptions};
pub use rig_error::RigError;
pub use status_watch::{StatusWatch, WatchFindings};
