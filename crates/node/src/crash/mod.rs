//! Requests that crash the backend servers which run them.
//!
//! Callers send such a request again, and each resend takes down one more backend server
//! of the service. An inbound proxy whose connections broke ([`BrokenRuns`]) probes whether the
//! backend server lives ([`watch_crashes`]). If it doesn't, or another start takes its place
//! soon, each request that was running gets a [`CrashRecord`]. The nodes beside the other
//! backend servers of the service are told of it ([`CrashHandler`]) before whoever sent the
//! request is answered; all others hear of it by way of the store ([`CrashHistory`]).
//! [`PoisonRegistry`] counts the rows of each [`request_fingerprint`] and says from which count
//! on a request is refused. Nodes refuse it to their callers, and inbound proxies to other nodes.
//!
//! Innocent requests that ran beside share the row of a crash. They run again one at a time
//! on each backend server, so that few of them share a second one, and are told apart by
//! completing: each run of good completions pays off one crash. A request that never
//! completes here and always had company is refused for a tenth of the time.

mod break_diagnosis;
mod broken_runs;
mod completion_credit;
mod crash_handler;
mod crash_history;
mod crash_news;
mod crash_record;
mod crash_watch;
mod poison_limits;
mod poison_registry;
mod poison_status;
mod request_fingerprint;
mod suspect_record;

pub use break_diagnosis::{BreakCause, BreakDiagnosis};
pub use broken_runs::BrokenRuns;
pub use crash_handler::{CRASH_PATH, CrashHandler};
pub use crash_history::{CRASH_PREFIX, CrashHistory};
pub use crash_record::CrashRecord;
pub use crash_watch::watch_crashes;
pub use poison_limits::PoisonLimits;
pub use poison_registry::PoisonRegistry;
pub use poison_status::PoisonStatus;
pub use request_fingerprint::request_fingerprint;
