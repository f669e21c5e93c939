//! Stand-ins for the users' platform, for tests without it.
//!
//! [`KvServer`] speaks the published protocol of the metadata store, with its
//! faults; each of its ports can be given a fault of its own, so that the
//! store turns away one node and serves the others. [`EndpointServer`] is a
//! backend server beside a node: it records every run, and misbehaves on
//! request. Both run on a thread of their own and end when dropped.

mod endpoint_fault;
mod endpoint_server;
mod http_server;
mod kv_fault;
mod kv_server;
mod kv_state;
mod run_record;

pub use endpoint_fault::EndpointFault;
pub use endpoint_server::{EndpointOptions, EndpointServer};
pub use kv_fault::KvFault;
pub use kv_server::KvServer;
pub use kv_state::KvState;
pub use run_record::RunRecord;
