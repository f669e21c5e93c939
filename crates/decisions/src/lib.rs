//! Pure policy: what a node decides, without I/O, clocks or threads.
//!
//! Every module takes `now`, a monotonic time since the node's start, and a
//! random number generator as arguments, so that each decision can be read and
//! tested without a network.
//!
//! [`picking`] chooses the backend server for a request, [`retry`] whether to
//! try again, [`poison`] which requests crash backend servers, and [`once`]
//! keeps non-idempotent requests to one run.

pub mod once;
pub mod picking;
pub mod poison;
pub mod retry;
