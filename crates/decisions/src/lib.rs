//! Pure policy: what a node decides, without I/O, clocks or threads.
//!
//! Every module takes `now`, a monotonic time since the node's start, and a
//! random number generator as arguments, so that each decision can be read and
//! tested without a network.
//!
//! [`admission`] guards a node's own backend server: who runs, who waits and
//! who is refused. [`picking`] chooses the backend server for a request,
//! [`retry`] whether to try again, [`poison`] which requests crash backend
//! servers, and [`once`] keeps non-idempotent requests to one run.

pub mod admission;
pub mod once;
pub mod picking;
pub mod poison;
pub mod retry;
