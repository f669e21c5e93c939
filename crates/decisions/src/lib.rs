//! Policy under load and faults, without I/O, clocks or threads.

pub mod admission;
