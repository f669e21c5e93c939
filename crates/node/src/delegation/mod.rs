//! Calls to the store that one node makes for another.
//!
//! The store may turn single nodes away, or the way to it may be cut for them, while they
//! go on serving callers and reach the other nodes. Without help their announcements
//! lapse, and their backend servers stand idle. A node that has lost the store asks
//! another one to keep its announcement ([`DelegatingStore`]): a [`DelegatedCall`] is one call,
//! made with the lease and the revision of the node that asks, so that what holds of its
//! own calls holds of these.
//!
//! A node that is cut off from the others as well can't ask, and its announcement lapses
//! as it should. While the store is away for all, whoever is asked says so at once, and
//! pauses between rounds grow.

mod delegated_call;
mod delegated_call_handler;
mod delegated_call_queue;
mod delegating_store;

pub use delegated_call::{DelegatedCall, DelegatedOutcome};
pub use delegated_call_handler::{DELEGATED_CALL_PATH, DelegatedCallHandler};
pub use delegated_call_queue::{DelegatedCallQueue, run_delegated_calls};
pub use delegating_store::DelegatingStore;
