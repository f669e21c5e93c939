//! Promises of the fleet, and records of those that were broken.

use serde::Serialize;
use strum::{Display, VariantArray};

/// A promise that the fleet makes to callers and operators.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, VariantArray, Serialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// A good response is complete, signed, and belongs to its request.
    OwnAnswer,
    /// Backend servers run only requests that callers sent, unchanged.
    AskedFor,
    /// An order runs at most once.
    OnceAtMost,
    /// A request that was reported as not run hasn't run and never will.
    TrueRefusal,
    /// A running node leaves no request without a response.
    Answered,
    /// A backend server that has drained gets no new requests.
    Drained,
    /// A backend server that has named a limit gets no more than that.
    WithinLimit,
    /// A request whose caller has disconnected is cancelled.
    Cancelled,
    /// A request that crashes backend servers reaches only a few of them.
    FewCrashes,
    /// No node process goes back to an older configuration.
    NeverOlder,
    /// Every node applies the active configuration version.
    InForce,
    /// The fleet serves again after the faults have ended.
    Recovered,
    /// No node process exits unasked.
    KeepsRunning,
}

/// A broken promise, with the observation that shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Breach {
    /// The promise that was broken.
    pub promise: Promise,
    /// What was observed.
    pub what: String,
}

impl Breach {
    /// Creates a breach from what was observed.
    pub fn new(promise: Promise, what: impl Into<String>) -> Self {
        let what = what.into();
        Self { promise, what }
    }
}
