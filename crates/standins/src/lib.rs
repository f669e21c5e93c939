//! Stand-ins for the users' platform, for tests, soaks and the demo.
//!
//! [`KvServer`] speaks the published protocol of the metadata store, with its
//! faults; each of its ports can be given a fault of its own, so that the
//! store turns away one node and serves the others. [`EndpointServer`] is a
//! backend server beside a node: it records every run, and misbehaves on
//! request. Both run on a thread of their own and end when dropped.
//! [`Machine`] writes a node's settings file, [`Heartbeat`] what backend
//! servers post, [`CallerCall`] what callers send, and [`route_document`] what
//! operators put in force. Like the adapter, this crate knows the platform's
//! names; nothing else does.

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

pub use caller::{CALLER_HOST, CallerAnswer, CallerCall};
pub use endpoint_fault::EndpointFault;
pub use endpoint_server::{EndpointOptions, EndpointServer};
pub use heartbeat::{Heartbeat, HeartbeatState, farewell_body, farewell_path};
pub use kv_fault::KvFault;
pub use kv_server::KvServer;
pub use kv_state::{KvCopy, KvState};
pub use machine::{Machine, MachineAddrs};
pub use route_document::{CONFIG_KEY, RouteEntry, route_document};
pub use run_record::RunRecord;
