//! Tests of the stand-in backend server.

mod announcing;
mod answers;
mod bursts;
mod caller;
mod crash;
mod faults;
mod slots;
