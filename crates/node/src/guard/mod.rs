//! Everything that guards this node's own backend server.
//!
//! Requests come from callers of this node and from other nodes. One thread,
//! the guard, owns admission, the ticket ledger and the poison register, so
//! none of them needs a lock. Admitted requests go through a bounded ring to
//! worker threads, one for each slot, which call the backend server and report
//! back through the guard's own ring.

mod backend_call;
mod backend_client;
mod canceller;
mod guard_event;
mod guard_loop;
mod guard_parts;
mod held_job;
mod own_backend;
mod reply_sink;
mod stream_table;
mod ticket_desk;
mod worker_pool;

pub use backend_client::{BackendClient, is_hop_by_hop};
pub use canceller::{CancelOrder, start as start_canceller};
pub use guard_event::{BackendNotice, GuardEvent};
pub use guard_loop::GuardLoop;
pub use guard_parts::GuardParts;
pub use reply_sink::ReplySink;
pub use stream_table::{StreamPart, StreamTable};
