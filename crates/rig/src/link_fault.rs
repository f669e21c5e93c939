//! Faults of a link.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

/// Fault of a link between two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum LinkFault {
    /// None.
    #[default]
    Sound,
    /// Bytes come later, in both directions.
    Delay(Duration),
    /// Connections are reset, open ones at once and new ones as they come.
    Reset,
    /// Bytes towards the listener vanish; those from it arrive.
    CutTowards,
    /// Bytes from the listener vanish; those towards it arrive.
    CutFrom,
    /// Bytes vanish in both directions, and connections stay open.
    Cut,
}
