//! Promises that were broken.

use serde::Serialize;
use strum::{Display, VariantArray};

/// A promise that the fleet makes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, VariantArray, Serialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// A good answer is whole, signed, and the asker's own.
    OwnAnswer,
    /// Backend servers run only what callers sent, unchanged.
    AskedFor,
    /// An order runs once at most.
    OnceAtMost,
    /// What was called unrun has not run and never does.
    TrueRefusal,
    /// No request is left without an answer by a process that goes on.
    Answered,
    /// A backend server that left gets no new work.
    Drained,
    /// A request whose caller has left is cancelled.
    Cancelled,
    /// A request that crashes backend servers reaches few of them.
    FewCrashes,
    /// No process goes back to an older configuration.
    NeverOlder,
    /// Every node follows the version in force.
    InForce,
    /// The fleet serves again when the faults are over.
    Recovered,
    /// No process ends by itself.
    KeepsRunning,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Breach {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub what: String,
}

impl Breach {
    /// Notes what was seen.
    pub fn new(promise: Promise, what: impl Into<String>) -> Self {
        let what = what.into();
        Self { promise, what }
    }
}
