//! Requests that are open.

use std::rc::Rc;

use http::HeaderMap;

use super::NodeCore;
use crate::{header_set::head_bytes, link::LinkUse};

/// Counts a request as open until dropped.
#[derive(Debug)]
pub struct OpenMark {
    pub(super) core: Rc<NodeCore>,
    /// Whether a caller on this machine asked, and no other node.
    pub(super) from_caller: bool,
}

impl OpenMark {
    /// Whether a caller on this machine asked, and no other node.
    pub const fn is_from_caller(&self) -> bool {
        self.from_caller
    }

    /// Notes the head of the answer, which goes out with its first bytes.
    pub fn sent_head(&self, headers: &HeaderMap) {
        self.sent(LinkUse::Overhead, head_bytes(headers));
    }

    /// Notes bytes of the answer that were sent.
    pub fn sent(&self, purpose: LinkUse, bytes: u64) {
        let core = &self.core;
        core.link.sent(core.clock.now(), purpose, bytes);
    }
}

impl Drop for OpenMark {
    fn drop(&mut self) {
        let open = &self.core.open;
        open.set(open.get().saturating_sub(1));
    }
}
