//! Links to other nodes on the data path, over `nng` REQ/REP.

mod exchange;
mod link_error;
mod link_pool;
mod peer_link;

pub use link_error::LinkError;
pub use link_pool::LinkPool;
pub(crate) use peer_link::MESSAGE_BYTES_MAX;
pub use peer_link::PeerLink;
