//! Calls to the store that one node makes for another.
//!
//! The store may turn single nodes away, or the way to it may be cut for them, while they
//! go on serving callers and reach the other nodes. Without help their announcements
//! lapse, and their backend servers stand idle. A node that has lost the store asks
//! another one to keep its announcement ([`StoreWay`]): a [`StoreErrand`] is one call,
//! made with the lease and the revision of the node that asks, so that what holds of its
//! own calls holds of these.
//!
//! A node that is cut off from the others as well can't ask, and its announcement lapses
//! as it should. While the store is away for all, whoever is asked says so at once, and
//! pauses between rounds grow.

mod errand_desk;
mod errand_port;
mod store_errand;
mod store_way;

pub use errand_desk::{ErrandDesk, run_errands};
pub use errand_port::{ERRAND_PATH, ErrandPort};
pub use store_errand::{ErrandOutcome, StoreErrand};
pub use store_way::StoreWay;
