//! Calls to the store that one node makes for another.
//!
//! The store may refuse single nodes, or the network between them and the store may fail,
//! while they still serve callers and reach the other nodes. Without help their
//! announcements would lapse and their backend servers would stay idle. A node that has
//! lost the store therefore sends its calls to another node ([`DelegatingStore`]). A
//! [`DelegatedCall`] uses the lease and the revision of the node that sends it, so it gives
//! the same guarantees as a call by that node itself.
//!
//! A node that doesn't reach the other nodes either can't delegate, and its announcement
//! lapses as it should. While no node reaches the store, the nodes that are asked respond
//! with a failure at once, and the pauses between rounds grow.

mod delegated_call;
mod delegated_call_handler;
mod delegated_call_queue;
mod delegating_store;

pub use delegated_call::{DelegatedCall, DelegatedOutcome};
pub use delegated_call_handler::{DELEGATED_CALL_PATH, DelegatedCallHandler};
pub use delegated_call_queue::{DelegatedCallQueue, run_delegated_calls};
pub use delegating_store::DelegatingStore;
