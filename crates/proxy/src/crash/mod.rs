//! Requests that crash backend servers.
//!
//! A door whose connections broke looks whether the backend server is still
//! there ([`watch_crashes`]). If it isn't, each request that was running gets
//! a row, which goes to every node by way of the store ([`CrashBook`]). What
//! the rows mean is decided by
//! [`PoisonRegister`](geranium_decisions::poison::PoisonRegister).

mod crash_book;
mod crash_watch;
mod request_print;

pub use crash_book::{CRASH_PREFIX, CrashBook};
pub use crash_watch::{BrokenRuns, watch_crashes};
pub use request_print::request_print;
