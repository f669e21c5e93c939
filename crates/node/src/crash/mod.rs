//! Requests that crash the backend servers which run them.
//!
//! Callers send such a request again, and each resend takes down one more backend server
//! of the service. A door whose connections broke looks whether the backend server is
//! still there ([`watch_crashes`]). If it isn't, each request that was running gets a
//! [`CrashRow`], which goes to every node by way of the store ([`CrashBook`]).
//! [`PoisonRegister`] counts the rows of each [`request_print`] and says from which count
//! on a request is refused.
//!
//! Innocent requests that ran beside share the row of a crash. They are told apart by
//! completing: each run of good completions pays off one crash. A request that never
//! completes here and always had company is refused for a tenth of the time.

mod completion_credit;
mod crash_book;
mod crash_row;
mod crash_watch;
mod poison_register;
mod poison_terms;
mod poison_verdict;
mod request_print;
mod suspect_record;

pub use crash_book::{CRASH_PREFIX, CrashBook};
pub use crash_row::CrashRow;
pub use crash_watch::{BrokenRuns, watch_crashes};
pub use poison_register::PoisonRegister;
pub use poison_terms::PoisonTerms;
pub use poison_verdict::PoisonVerdict;
pub use request_print::request_print;
