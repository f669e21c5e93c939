//! Metrics, status and members for operators and their programs.

mod admin_handler;
mod node_status;

pub use admin_handler::{AdminHandler, MEMBERS_PATH, METRICS_PATH, STATUS_PATH};
pub use node_status::{NodeStatus, ProofStatus};
