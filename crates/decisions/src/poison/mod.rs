//! Requests that crash the backend servers which run them.
//!
//! **Load pattern.** Once in a while one request breaks each backend server
//! that runs it, and its caller, its node or a hurried person sends it again.
//!
//! **Without it.** Every resend takes down one more server of the service;
//! three servers last three resends.
//!
//! **How.** The node beside a backend server that breaks writes one
//! [`CrashRow`](geranium_model::CrashRow) for each request then in flight.
//! Rows spread with membership. [`PoisonRegister`] counts them per request
//! [`fingerprint`]: after one crash a request is suspect and never retried,
//! after two it is refused.
//!
//! **Innocent neighbours** share the row of a crash that another request
//! caused. What tells them apart is that they complete: each run of good
//! completions pays off one crash, so a price that is looked up all day isn't
//! refused for having sat beside two crashes. One that never completes here
//! and was always in company is refused for a tenth of the time.
//!
//! **Grounds for figures** stand beside each constant.

mod completion_credit;
mod fingerprint;
mod poison_register;
mod poison_verdict;
mod suspect_record;

pub use fingerprint::fingerprint;
pub use poison_register::PoisonRegister;
pub use poison_verdict::PoisonVerdict;
