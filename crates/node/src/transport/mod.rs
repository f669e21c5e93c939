//! Connections that a node opens, and the calls and headers that nodes exchange.

mod connection_pool;
mod exchange_error;
mod keep_alive;
mod peer_call;
mod peer_request_header;
mod socket_tuning;

pub use connection_pool::{ConnectionPool, PoolSettings, PooledConnection};
pub use exchange_error::ExchangeError;
pub use peer_call::{PeerCall, PeerCallError};
pub use peer_request_header::PeerRequestHeader;
pub use socket_tuning::tune_socket;
