//! Small stand-ins for what the users run, for tests and the demo.
//!
//! [`platform`] takes the place of the platform's key-value service.

pub mod platform;
