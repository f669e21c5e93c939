//! Stand-ins for the users' platform, for tests, soaks and the demo.
//!
//! [`KvServer`] implements the store's published HTTP protocol. Each of its ports
//! can be given a fault of its own, so that the store rejects one node and serves
//! the others. [`EndpointServer`] is a backend server beside a node: it records
//! every run and can be given faults, too. Both run on a thread of their own and
//! stop when dropped. [`Machine`] writes a node's settings file, [`Heartbeat`] the
//! reports of backend servers, [`CallerRequest`] the requests of callers, and
//! [`route_document`] the operators' configuration. Of the whole workspace, only
//! this crate and the platform adapter know the platform's names.

mod caller;
mod endpoint_fault;
mod endpoint_server;
mod heartbeat;
mod http_server;
mod kv_fault;
mod kv_server;
mod kv_state;
mod machine;
mod route_document;
mod run_record;

pub use caller::{CALLER_HOST, CallerRequest, CallerResponse};
pub use endpoint_fault::EndpointFault;
pub use endpoint_server::{EndpointOptions, EndpointServer};
pub use heartbeat::{Heartbeat, HeartbeatState, deregistration_body, deregistration_path};
pub use http_server::bind_listener;
pub use kv_fault::KvFault;
pub use kv_server::KvServer;
pub use kv_state::{KvCopy, KvState};
pub use machine::{Machine, MachineAddrs, MachineLimits};
pub use route_document::{AccountEntry, CONFIG_KEY, RouteEntry, account_document, route_document};
pub use run_record::RunRecord;
