//! Requests that are open.

use std::rc::Rc;

use http::HeaderMap;

use super::NodeCore;
use crate::{header_set::head_bytes, link::LinkUse};

/// Counts a request as open until dropped.
#[derive(Debug)]
pub struct OpenMark(pub(super) Rc<NodeCore>);

impl OpenMark {
    /// Notes the head of the answer, which goes out with its first bytes.
    pub fn sent_head(&self, headers: &HeaderMap) {
        self.sent(LinkUse::Overhead, head_bytes(headers));
    }

    /// Notes bytes of the answer that were sent.
    pub fn sent(&self, purpose: LinkUse, bytes: u64) {
        let core = &self.0;
        core.link.sent(core.clock.now(), purpose, bytes);
    }
}

impl Drop for OpenMark {
    fn drop(&mut self) {
        let open = &self.0.open;
        open.set(open.get().saturating_sub(1));
    }
}
