//! Stand-ins for what geraniumspring doesn't own, for tests and the demo.
//!
//! [`backend`] takes the place of a user's backend server.

pub mod backend;
