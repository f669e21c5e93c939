//! What is known of a request's tries.

use std::time::Duration;

use http::Response;
use smallvec::SmallVec;

use super::{LocalReply, OutboundRequest};
use crate::{
    inbound::{InboundRefusal, RefusalReason},
    member::{MemberKey, MemberRecord},
    node_core::NodeCore,
    response_body::ResponseBody,
    result_code::ResultCode,
};

/// Members asked for one request, refusals of inbound proxies included. A third that is
/// full says that the service is.
pub(super) const TRIES_MAX: usize = 3;
/// Members probed for a free slot before one is waited for. Each costs both nodes a call.
pub(super) const PROBES_MAX: usize = 1;
/// Advice when no backend server takes work: one restarts, or is announced
/// again, within a second or two.
const RETRY_NO_BACKEND: Duration = Duration::from_millis(250);
/// Least advice on when to come back.
pub(super) const RETRY_MIN: Duration = Duration::from_millis(30);

/// What is known of a request's tries so far.
#[derive(Debug)]
pub(super) struct TryRecord<'a> {
    pub(super) core: &'a NodeCore,
    pub(super) request: &'a OutboundRequest,
    /// Whether the request has its answer.
    pub(super) settled: bool,
    /// Member of the last try.
    pub(super) at: Option<MemberRecord>,
    pub(super) tried: SmallVec<[MemberKey; TRIES_MAX]>,
    /// Members that had no free slot.
    pub(super) probed: SmallVec<[MemberKey; PROBES_MAX]>,
    /// Backend servers that it came to, or may have come to.
    pub(super) arrivals: u32,
    /// Tries that are under way: a timeout in their middle must not promise
    /// that they didn't run.
    pub(super) under_way: u32,
    /// Whether a try that has ended may have run.
    pub(super) ran: bool,
    pub(super) refusal: Option<InboundRefusal>,
    pub(super) broke: Option<String>,
    /// Whether it crashes backend servers, or may do so: no other one may be tried.
    pub(super) crashes_servers: bool,
    /// A failure that a backend server answered, while another is tried.
    pub(super) kept: Option<Box<Response<ResponseBody>>>,
}

impl<'a> TryRecord<'a> {
    pub(super) fn new(core: &'a NodeCore, request: &'a OutboundRequest) -> Self {
        Self {
            core,
            request,
            settled: false,
            at: None,
            tried: SmallVec::new(),
            probed: SmallVec::new(),
            arrivals: 0,
            under_way: 0,
            ran: false,
            refusal: None,
            broke: None,
            crashes_servers: false,
            kept: None,
        }
    }

    /// Returns how many members were asked.
    pub(super) fn count(&self) -> usize {
        self.tried.len() + self.probed.len()
    }

    /// Notes that a try goes to `key`.
    pub(super) fn begin(&mut self, key: MemberKey) {
        self.tried.push(key);
        self.arrivals += 1;
        self.under_way += 1;
    }

    /// Notes that a try didn't come to a backend server.
    pub(super) fn never_arrived(&mut self) {
        self.arrivals = self.arrivals.saturating_sub(1);
    }

    /// Notes that a member had no free slot; it may be waited for later.
    pub(super) fn was_busy(&mut self, key: MemberKey) {
        self.tried.retain(|tried| *tried != key);
        self.probed.push(key);
    }

    /// Whether the last refusal was for want of room.
    pub(super) fn is_full(&self) -> bool {
        self.refusal.is_some_and(|refusal| refusal.reason.is_full())
    }

    /// Whether a try has run, or may have.
    pub(super) fn may_have_run(&self) -> bool {
        self.ran || self.under_way > 0
    }
}

impl Drop for TryRecord<'_> {
    /// A record that is dropped unsettled belongs to a caller that left.
    fn drop(&mut self) {
        if !self.settled {
            self.core.record_caller_left(self.request, self.count());
        }
    }
}

/// Returns the answer for a request that is given up.
pub(super) fn final_answer(tries: &TryRecord<'_>) -> LocalReply {
    if tries.may_have_run() {
        return LocalReply::maybe_run(ResultCode::BackendBroke);
    }
    let Some(refusal) = tries.refusal else {
        let code = if tries.count() == 0 {
            ResultCode::NoBackend
        } else {
            ResultCode::NodeUnreachable
        };
        return LocalReply::not_run(code, RETRY_NO_BACKEND);
    };
    let retry_after = refusal.retry_after.max(RETRY_MIN);
    LocalReply::not_run(code_of(refusal.reason), retry_after)
}

/// Returns the answer for a request whose time is over.
pub(super) fn late_answer(tries: &TryRecord<'_>) -> LocalReply {
    if tries.may_have_run() {
        LocalReply::timed_out()
    } else {
        LocalReply::not_run(ResultCode::DeadlineBeforeRun, RETRY_MIN)
    }
}

const fn code_of(reason: RefusalReason) -> ResultCode {
    match reason {
        RefusalReason::Shut | RefusalReason::EndpointDown | RefusalReason::OtherInstance => {
            ResultCode::NoBackend
        }
        RefusalReason::Leaving | RefusalReason::Stopping => ResultCode::Draining,
        RefusalReason::Busy | RefusalReason::Full | RefusalReason::LinkFull => {
            ResultCode::QueueFull
        }
        RefusalReason::Poisoned => ResultCode::Poisoned,
        RefusalReason::EndpointRefused => ResultCode::BackendRefused,
    }
}
