//! State of the tries of one request.

use std::time::Duration;

use http::Response;
use rand::RngExt;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::{LocalReply, OutboundRequest, RetryAdvice, retry_advice::RETRY_AFTER_MIN};
use crate::{
    inbound::{InboundRefusal, RefusalReason},
    member::{MemberKey, MemberRecord},
    node_core::{NodeCore, VersionPlan},
    response_body::ResponseBody,
    result_code::ResultCode,
};

/// Largest number of members tried for one request, including those that refused it. If a third one
/// is full, so is the service.
pub(super) const TRIES_MAX: usize = 3;
/// Largest number of members probed for a free slot before the request waits in a queue. Each probe
/// costs both nodes a call.
pub(super) const PROBES_MAX: usize = 1;
/// `Retry-After` when no backend server takes requests. A backend server restarts, or is
/// announced again, within one or two seconds.
const RETRY_AFTER_NO_BACKEND: Duration = Duration::from_millis(250);

/// State of the tries of one request so far.
#[derive(Debug)]
pub(super) struct TryRecord<'a> {
    pub(super) core: &'a NodeCore,
    pub(super) request: &'a OutboundRequest,
    /// Whether the request has its final response.
    pub(super) settled: bool,
    /// Member of the last try.
    pub(super) last_member: Option<MemberRecord>,
    pub(super) tried: SmallVec<[MemberKey; TRIES_MAX]>,
    /// Members that had no free slot.
    pub(super) probed: SmallVec<[MemberKey; PROBES_MAX]>,
    /// Number of backend servers that the request reached, or may have reached.
    pub(super) arrivals: u32,
    /// Number of tries in flight. After a timeout during one, the caller must not be told
    /// that the request didn't run.
    pub(super) in_flight: u32,
    /// Whether a try that has ended may have run.
    pub(super) earlier_try_may_have_run: bool,
    /// Most recent refusal, by a member or because all links are full.
    ///
    /// Probes that found no free slot don't count.
    pub(super) refusal: Option<InboundRefusal>,
    /// Reply to a request whose key isn't valid any more; it isn't tried again.
    pub(super) key_reply: Option<LocalReply>,
    /// Cause of the last failure of a try that may have run, for the log.
    pub(super) failure_cause: Option<String>,
    /// Whether the request crashes backend servers, or may do so. No other member is tried then.
    pub(super) crashes_servers: bool,
    /// Members that the present try may go to, as rollouts restrict them.
    pub(super) versions: VersionPlan,
    /// A backend server's failure response, which is used if no other try succeeds.
    pub(super) fallback_response: Option<Box<Response<ResponseBody>>>,
}

impl<'a> TryRecord<'a> {
    pub(super) fn new(core: &'a NodeCore, request: &'a OutboundRequest) -> Self {
        Self {
            core,
            request,
            settled: false,
            last_member: None,
            tried: SmallVec::new(),
            probed: SmallVec::new(),
            arrivals: 0,
            in_flight: 0,
            earlier_try_may_have_run: false,
            refusal: None,
            key_reply: None,
            failure_cause: None,
            crashes_servers: false,
            versions: VersionPlan::default(),
            fallback_response: None,
        }
    }

    /// Returns the number of members that were tried or probed.
    pub(super) fn count(&self) -> usize {
        self.tried.len() + self.probed.len()
    }

    /// Records the start of a try at `key`.
    pub(super) fn begin(&mut self, key: MemberKey) {
        self.tried.push(key);
        self.arrivals += 1;
        self.in_flight += 1;
    }

    /// Records that a try didn't reach a backend server.
    pub(super) fn record_not_arrived(&mut self) {
        self.arrivals = self.arrivals.saturating_sub(1);
    }

    /// Records that a member had no free slot. It may be tried again with queueing.
    pub(super) fn record_busy(&mut self, key: MemberKey) {
        self.tried.retain(|tried| *tried != key);
        self.probed.push(key);
    }

    /// Whether the most recent refusal was for a lack of capacity.
    pub(super) fn is_full(&self) -> bool {
        self.refusal.is_some_and(|refusal| refusal.reason.is_full())
    }

    /// Whether the request has run, or may have.
    pub(super) fn may_have_run(&self) -> bool {
        self.earlier_try_may_have_run || self.in_flight > 0
    }
}

impl Drop for TryRecord<'_> {
    /// Records that the caller left if the request has no final response yet.
    fn drop(&mut self) {
        if !self.settled {
            self.core.record_caller_left(self.request, self.count());
        }
    }
}

/// Returns the reply to a request that is given up.
pub(super) fn final_reply(tries: &TryRecord<'_>) -> LocalReply {
    if tries.may_have_run() {
        return LocalReply::maybe_run(ResultCode::BackendBroke);
    }
    if let Some(reply) = tries.key_reply {
        return reply;
    }
    let Some(refusal) = tries.refusal else {
        let code = if tries.count() == 0 {
            ResultCode::NoBackend
        } else {
            ResultCode::NodeUnreachable
        };
        return LocalReply::not_run(code, RETRY_AFTER_NO_BACKEND);
    };
    let deadline = tries.request.caller_deadline;
    let remaining = deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
    let advice = RetryAdvice { refusal, remaining };
    let retry_after = advice.retry_after(rand::rng().random());
    LocalReply::not_run(result_code_of(refusal.reason), retry_after)
}

/// Returns the reply to a request whose time ran out.
pub(super) fn timeout_reply(tries: &TryRecord<'_>) -> LocalReply {
    if tries.may_have_run() {
        LocalReply::timed_out()
    } else {
        LocalReply::not_run(ResultCode::DeadlineBeforeRun, RETRY_AFTER_MIN)
    }
}

const fn result_code_of(reason: RefusalReason) -> ResultCode {
    match reason {
        RefusalReason::Shut | RefusalReason::EndpointDown | RefusalReason::OtherInstance => {
            ResultCode::NoBackend
        }
        RefusalReason::Leaving | RefusalReason::Stopping => ResultCode::Draining,
        RefusalReason::Busy | RefusalReason::Full | RefusalReason::LinkFull => {
            ResultCode::QueueFull
        }
        RefusalReason::Limited => ResultCode::BackendLimited,
        RefusalReason::CallsFail => ResultCode::CallsFail,
        RefusalReason::Poisoned => ResultCode::Poisoned,
        RefusalReason::ConfigBehind | RefusalReason::KeyUnknown | RefusalReason::KeyUnproven => {
            ResultCode::KeyUnproven
        }
        RefusalReason::EndpointRefused => ResultCode::BackendRefused,
    }
}
