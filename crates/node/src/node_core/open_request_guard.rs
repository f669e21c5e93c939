//! Guard that counts an open request and the bytes of its response.

use std::rc::Rc;

use http::HeaderMap;

use super::NodeCore;
use crate::{
    header_names::{PEER_REFUSAL_HEADER, head_bytes},
    link::LinkTraffic,
    request_origin::RequestOrigin,
};

/// Counts a request as open until the guard is dropped.
///
/// For requests from other nodes, the guard also counts the response head and a short body
/// as link traffic. Long bodies are counted by their reservation.
#[derive(Debug)]
pub struct OpenRequestGuard {
    core: Rc<NodeCore>,
    origin: RequestOrigin,
}

impl OpenRequestGuard {
    pub(super) const fn new(core: Rc<NodeCore>, origin: RequestOrigin) -> Self {
        Self { core, origin }
    }

    /// Counts the bytes of the response head.
    ///
    /// The head is sent with the first bytes of the body.
    pub fn record_head(&self, headers: &HeaderMap) {
        let traffic = if headers.contains_key(&PEER_REFUSAL_HEADER) {
            LinkTraffic::Refusal
        } else {
            LinkTraffic::Overhead
        };
        self.record_sent(traffic, head_bytes(headers));
    }

    /// Counts bytes sent from the body of a short response.
    pub fn record_short_body(&self, bytes: u64) {
        self.record_sent(LinkTraffic::Short, bytes);
    }

    fn record_sent(&self, traffic: LinkTraffic, bytes: u64) {
        if self.origin == RequestOrigin::Caller {
            return;
        }
        let core = &self.core;
        core.link.record_sent(core.clock.now(), traffic, bytes);
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let open = &self.core.open_requests;
        open.set(open.get().saturating_sub(1));
    }
}
