//! Leases, after which the store deletes what is attached to them.

use std::{fmt, time::Duration};

/// Identifier that the store gave to a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(i64);

impl LeaseId {
    /// Wraps a raw identifier.
    pub const fn new(raw: i64) -> Self {
        Self(raw)
    }

    /// Returns the raw identifier.
    pub const fn get(self) -> i64 {
        self.0
    }
}

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Answer to keeping a lease alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAnswer {
    /// The lease lives on for `ttl` from the time the store answered.
    Alive {
        /// Time to live.
        ttl: Duration,
    },
    /// The lease has lapsed and its keys are deleted.
    Lapsed,
}
