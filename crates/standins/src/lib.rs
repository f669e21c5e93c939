//! Small stand-ins for what the users run, for tests and the demo.
//!
//! [`platform`] takes the place of the platform's key-value service, and
//! [`backend`] that of a user's backend server.

mod pool_nudge;

pub mod backend;
pub mod platform;
