//! What a node shows to operators and their programs.

mod node_status;
mod operators_port;

pub use node_status::NodeStatus;
pub use operators_port::{MEMBERS_PATH, METRICS_PATH, OperatorsPort, STATUS_PATH};
