//! First of the breaks that may be the crash of a start.

use std::time::Duration;

use crate::member::EndpointStart;

/// First of the breaks of a start's connections since it last responded.
#[derive(Debug)]
pub(super) struct FirstBreak {
    pub(super) start: EndpointStart,
    /// Time of the break.
    pub(super) at: Duration,
    /// Whether a probe after it couldn't tell whether the start still ran.
    pub(super) is_unclear: bool,
}
