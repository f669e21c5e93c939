//! Faults that the store can be given.

use std::time::Duration;

/// Fault of one port of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum KvFault {
    /// No fault.
    #[default]
    Sound,
    /// Calls get status 503 and aren't executed.
    Busy,
    /// Calls get status 429 and aren't executed.
    Limited,
    /// Connections are closed without a response; calls aren't executed.
    Reset,
    /// Calls get no response and aren't executed.
    Silent,
    /// Writes are executed, but their responses are lost.
    Lost,
    /// Writes get no response and are executed after this delay, if their precondition
    /// still holds then.
    Late(Duration),
    /// Calls are executed after this delay.
    Slow(Duration),
    /// Watches report no changes.
    SilentWatches,
    /// Responses aren't JSON.
    Garbled,
}
