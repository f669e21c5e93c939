//! The platform adapter and its fake against one set of expectations.

mod conformance;
mod differential;
mod faults;
mod operators;
