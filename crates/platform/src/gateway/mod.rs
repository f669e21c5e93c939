//! Adapter to the HTTP and JSON gateway of etcd's version 3 interface.
//!
//! Keys and values travel in base64, 64-bit numbers as strings, and fields
//! with a zero value are left out. `wire` holds the messages, `call` sends
//! one, `watch_stream` reads the answer to a watch.

mod call;
mod endpoint;
mod gateway_store;
mod int64;
mod settings;
mod tracked_body;
mod watch_stream;
mod wire;

pub use endpoint::{Endpoint, EndpointError};
pub use gateway_store::GatewayStore;
pub use settings::GatewaySettings;
