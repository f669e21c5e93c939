//! Detects and refuses requests that crash the backend servers which run them.
//!
//! Callers resend such a request, and each resend crashes one more backend server of the
//! service. When connections to the backend server break ([`BrokenRuns`]), the node probes
//! whether it still runs ([`watch_crashes`]). If it doesn't, or if another start soon
//! replaces it, each request that was running gets a [`CrashRecord`]. The nodes whose
//! backend servers get the same requests are notified ([`CrashHandler`]) before the sender
//! of the request gets the diagnosis; all others learn of it by way of the store
//! ([`CrashHistory`]). [`PoisonRegistry`] counts the records of each
//! [`request_fingerprint`] and decides from which count on a request is refused. Outbound
//! proxies refuse it to callers, and inbound proxies to other nodes.
//!
//! Every request that was running at a crash gets a record, also those that didn't cause
//! it. Requests sent after the first break get none, even if the probe after that break
//! remained unclear, unless the start has responded since. Suspects run again one at a time
//! on each backend server, so that few of them share a second crash. Successful completions
//! clear them: each `CREDIT_PER_CRASH` completions offset one crash. A crash is offset as
//! well if the request completed `COMPLETIONS_BETWEEN_CRASHES` times since its crash before:
//! a request that crashes each server doesn't complete. The sender of a suspect tells the
//! node beside the backend server what it knows of that ([`CompletionEvidence`]), and the
//! record of the next crash tells all nodes.
//!
//! A request with `REFUSAL_CRASHES` crashes that aren't offset is refused for a tenth of
//! `REFUSAL_TIME` if it wasn't the only one running at any crash, or has completed since its
//! first one, and for all of it otherwise. After more crashes, it is refused for all of it,
//! unless completions offset one.

mod break_diagnosis;
mod broken_runs;
mod completion_credit;
mod completion_evidence;
mod crash_broadcast;
mod crash_handler;
mod crash_history;
mod crash_record;
mod crash_watch;
mod first_break;
mod poison_limits;
mod poison_registry;
mod poison_status;
mod request_fingerprint;
mod suspect_record;

pub use break_diagnosis::{BreakCause, BreakDiagnosis};
pub use broken_runs::BrokenRuns;
pub use completion_evidence::{CompletionEvidence, CompletionEvidenceError};
pub use crash_handler::{CRASH_PATH, CrashHandler};
pub use crash_history::{CRASH_PREFIX, CrashHistory};
pub use crash_record::CrashRecord;
pub use crash_watch::watch_crashes;
pub use poison_limits::PoisonLimits;
pub use poison_registry::PoisonRegistry;
pub use poison_status::PoisonStatus;
pub use request_fingerprint::request_fingerprint;
