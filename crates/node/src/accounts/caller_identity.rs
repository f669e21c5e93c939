//! Identity of a request's caller.

use std::rc::Rc;

use super::{AccountRule, KeyProof};

/// Identity of a request's caller at the first node.
#[derive(Debug, Clone)]
pub struct CallerIdentity {
    /// Account that the caller's key belongs to.
    pub account: Rc<AccountRule>,
    /// Proof of the key, for the second node.
    pub proof: KeyProof,
}
