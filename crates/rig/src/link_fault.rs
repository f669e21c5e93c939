//! Faults that a link can be given.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

/// Fault of a link between two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum LinkFault {
    /// No fault.
    #[default]
    Sound,
    /// Bytes are delayed in both directions.
    Delay(Duration),
    /// Open connections are reset at once, and new ones as they are accepted.
    Reset,
    /// Bytes sent to the listener are lost; bytes from it arrive.
    CutTowards,
    /// Bytes sent by the listener are lost; bytes to it arrive.
    CutFrom,
    /// Bytes are lost in both directions; connections stay open.
    Cut,
}
