//! Requests that crash the backend servers which run them.
//!
//! Callers send such a request again, and each resend takes down one more backend server
//! of the service. A door whose connections broke ([`BrokenRuns`]) probes whether the
//! backend server lives ([`watch_crashes`]). If it doesn't, or another start takes its place
//! soon, each request that was running gets a [`CrashRow`]. The nodes beside the other
//! backend servers of the service are told of it ([`CrashPort`]) before whoever sent the
//! request is answered; all others hear of it by way of the store ([`CrashBook`]).
//! [`PoisonRegister`] counts the rows of each [`request_print`] and says from which count
//! on a request is refused. Nodes refuse it to their callers, and doors to other nodes.
//!
//! Innocent requests that ran beside share the row of a crash. They run again one at a time
//! on each backend server, so that few of them share a second one, and are told apart by
//! completing: each run of good completions pays off one crash. A request that never
//! completes here and always had company is refused for a tenth of the time.

mod break_finding;
mod broken_runs;
mod completion_credit;
mod crash_book;
mod crash_news;
mod crash_port;
mod crash_row;
mod crash_watch;
mod poison_register;
mod poison_terms;
mod poison_verdict;
mod request_print;
mod suspect_record;

pub use break_finding::{BreakCause, BreakFinding};
pub use broken_runs::BrokenRuns;
pub use crash_book::{CRASH_PREFIX, CrashBook};
pub use crash_port::{CRASH_PATH, CrashPort};
pub use crash_row::CrashRow;
pub use crash_watch::watch_crashes;
pub use poison_register::PoisonRegister;
pub use poison_terms::PoisonTerms;
pub use poison_verdict::PoisonVerdict;
pub use request_print::request_print;
