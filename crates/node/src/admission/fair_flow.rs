//! Sources of requests that the admission queue serves in turn.

use super::refused_attempts::AttemptMark;

/// Source of requests that the admission queue serves in turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum FairFlow {
    /// All requests without an account.
    Unnamed,
    /// The account with this name hash.
    Account(u64),
    /// All accounts beyond the number that is told apart.
    Shared,
}

impl FairFlow {
    /// Whether the requests of this flow have an account.
    pub(super) const fn has_account(self) -> bool {
        !matches!(self, Self::Unnamed)
    }
}

/// A request as one of its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FlowRequest {
    pub(super) flow: FairFlow,
    /// Mark by which the request is recognised when it comes again; none without an account.
    pub(super) mark: Option<AttemptMark>,
    /// Whether the request counts in the served share of its flow. One that is late or was refused
    /// before was counted already.
    pub(super) is_counted: bool,
}

impl FlowRequest {
    /// A request without an account.
    pub(super) const UNNAMED: Self = Self {
        flow: FairFlow::Unnamed,
        mark: None,
        is_counted: false,
    };
}
