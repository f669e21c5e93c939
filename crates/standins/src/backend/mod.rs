//! Stand-in backend server.
//!
//! [`BackendServer`] takes the place of a user's backend server in tests and
//! in the demo. It announces itself to the node beside it, runs at most its
//! slots' worth of requests, and sheds what goes beyond. Its answers carry the
//! request's own id, path and body digest, so that a client can tell whether
//! an answer is whole and its own. Its [`RunJournal`] records every run; tests
//! judge promises about runs by it and not by what a node says.
//!
//! [`RequestDirections`] in a path or query make a single request misbehave;
//! [`FaultSettings`] make the whole server misbehave.

mod active_run;
mod announcement;
mod backend_options;
mod backend_server;
mod backend_state;
mod call_head;
mod connection_breaker;
mod fault_settings;
mod journal_error;
mod nodelay_listener;
mod parked_requests;
mod request_directions;
mod request_serving;
mod request_target;
mod run_answer;
mod run_content;
mod run_journal;
mod run_record;
mod running_set;
mod seeded_bytes;
mod slot_gate;
mod termination;
mod work_wait;

pub use announcement::Announcement;
pub use backend_options::BackendOptions;
pub use backend_server::BackendServer;
pub use fault_settings::FaultSettings;
pub use journal_error::JournalError;
pub use nodelay_listener::nodelay_listener;
pub use request_directions::{FileDirections, RequestDirections};
pub use run_journal::RunJournal;
pub use run_record::{RunEnd, RunRecord};
pub use seeded_bytes::SeededBytes;
pub use termination::termination_requested;
