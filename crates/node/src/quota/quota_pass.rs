//! Token of one request.

use std::{cell::Cell, rc::Rc, time::Duration};

use crate::{boot_clock::BootClock, node_core::NodeCore};

/// Token of one request.
///
/// It is returned if the request is rejected before it is sent to any member, or didn't run. From
/// [`QuotaPass::spend`] on, dropping it doesn't return it, as the request may run.
#[derive(Debug)]
pub struct QuotaPass {
    core: Rc<NodeCore>,
    account: u64,
    expires_at: Duration,
    is_spent: Cell<bool>,
}

impl QuotaPass {
    pub(super) const fn new(core: Rc<NodeCore>, account: u64, expires_at: Duration) -> Self {
        Self {
            core,
            account,
            expires_at,
            is_spent: Cell::new(false),
        }
    }

    /// Counts the token as used, unless it is put back later.
    pub fn spend(&self) {
        self.is_spent.set(true);
    }

    /// Returns the token because the request didn't run and won't.
    pub fn put_back(&self) {
        self.is_spent.set(true);
        if let Some(quota) = &self.core.quota {
            quota.put_back(BootClock::now(), self.account, self.expires_at);
        }
    }
}

impl Drop for QuotaPass {
    fn drop(&mut self) {
        if !self.is_spent.get() {
            self.put_back();
        }
    }
}
