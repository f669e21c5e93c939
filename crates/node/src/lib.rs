//! The process that runs beside each backend server instance.
//!
//! A [`ServingNode`] is made of threads, one for each duty, joined by bounded
//! rings:
//!
//! - `callers` reads callers' HTTP requests, picks a backend server and writes
//!   the answers ([`callers`]);
//! - `guard` admits requests to the node's own backend server and keeps the
//!   at-most-once ledger ([`guard`]); its workers call the backend server;
//! - `control` follows configuration and membership ([`control`]), and
//!   `platform-*` call the platform for it;
//! - `admin` answers operators and takes announcements ([`admin`]);
//! - `timer` wakes the others ([`timer`]).
//!
//! Requests between nodes travel over [`link`] and the [`DataPort`] in the
//! messages of [`wire`].

pub mod admin;
pub mod callers;
pub mod control;
pub mod guard;
pub mod link;
pub mod settings;
pub mod timer;
pub mod wire;

mod bound_socket;
mod data_port;
mod log_setup;
mod metrics;
mod node;
mod node_error;
mod node_parts;

pub use data_port::{DataPort, QuestionHandler};
pub use log_setup::make_logger;
pub use metrics::{MessageDirection, NodeMetrics};
pub use node::{DrainingNode, ServingNode, StartingNode};
pub use node_error::NodeError;
