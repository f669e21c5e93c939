//! Shortage of memory for a body.

use snafu::Snafu;

/// There is no memory for a body, or it was taken away for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("no memory for the body"))]
pub struct MemoryShortage;
