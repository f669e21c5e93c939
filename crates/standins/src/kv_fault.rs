//! Faults of the store.

use std::time::Duration;

/// Fault of one port of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum KvFault {
    /// None.
    #[default]
    Sound,
    /// Calls get 503; nothing is done.
    Busy,
    /// Calls get 429; nothing is done.
    Limited,
    /// Connections are closed without an answer; nothing is done.
    Reset,
    /// Calls get no answer; nothing is done.
    Silent,
    /// Writes are done, and their answers lost.
    Lost,
    /// Writes get no answer and are done after a while, if their condition
    /// still holds.
    Late(Duration),
    /// Answers come after a while.
    Slow(Duration),
    /// Watches hear nothing of what changes.
    SilentWatches,
    /// Answers aren't JSON.
    Garbled,
}
