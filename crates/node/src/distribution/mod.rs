//! State and messages for distributing the configuration and the members, without I/O.
//!
//! [`RelaySelector`] selects one node in each data centre to watch the store, the relay. The
//! other nodes send it an [`UpdateRequest`]. The relay holds the request until it has an update
//! or the wait expires, and then sends an [`UpdateResponse`]. [`ConfigHistory`] provides the
//! changes since the version that a node holds, or the whole configuration if it no longer has
//! that version. [`MemberUpdateCache`] encodes changes of members once for all nodes that need them.
//! [`UpdateTiming`] says when a relay has failed. [`StoreAccess`] decides how often an unavailable store is called. The tasks that use
//! these types are in [`discovery`](crate::discovery).

mod config_history;
mod encoded_members;
mod packed_document;
mod relay_selector;
mod store_access;
mod update_message;
mod update_timing;

pub use config_history::ConfigHistory;
pub use encoded_members::{EncodedMembers, MemberUpdateCache};
pub use packed_document::{PackedConfig, PackedDocument, PackedMembers, UnpackError};
pub use relay_selector::{RelaySelector, StoreReachability, UpdateSource};
pub use store_access::{StoreAccess, StoreProbeDuty};
pub use update_message::{ConfigUpdate, UpdateRequest, UpdateRequestError, UpdateResponse};
pub use update_timing::UpdateTiming;
