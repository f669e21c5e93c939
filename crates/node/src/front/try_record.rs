//! What is known of a request's tries.

use std::time::Duration;

use crate::result_code::ResultCode;
use smallvec::SmallVec;

use super::{FrontAnswer, FrontRequest};
use crate::{
    door::{DoorRefusal, RefusalReason},
    member::{MemberKey, MemberRecord},
    node_core::NodeCore,
};

/// Members asked for one request, refusals of doors included. A third that is
/// full says that the service is.
pub(super) const TRIES_MAX: usize = 3;
/// Advice when no backend server takes work: one restarts, or is announced
/// again, within a second or two.
const RETRY_NO_BACKEND: Duration = Duration::from_millis(250);
/// Least advice on when to come back.
pub(super) const RETRY_MIN: Duration = Duration::from_millis(30);

/// What is known of a request's tries so far.
#[derive(Debug)]
pub(super) struct TryRecord<'a> {
    pub(super) core: &'a NodeCore,
    pub(super) request: &'a FrontRequest,
    /// Whether the request has its answer.
    pub(super) settled: bool,
    /// Member of the last try.
    pub(super) at: Option<MemberRecord>,
    pub(super) tried: SmallVec<[MemberKey; TRIES_MAX]>,
    /// Backend servers that it came to, or may have come to.
    pub(super) arrivals: u32,
    /// Whether it may have run.
    pub(super) maybe_run: bool,
    pub(super) refusal: Option<DoorRefusal>,
    pub(super) broke: Option<String>,
}

impl<'a> TryRecord<'a> {
    pub(super) fn new(core: &'a NodeCore, request: &'a FrontRequest) -> Self {
        Self {
            core,
            request,
            settled: false,
            at: None,
            tried: SmallVec::new(),
            arrivals: 0,
            maybe_run: false,
            refusal: None,
            broke: None,
        }
    }
}

impl Drop for TryRecord<'_> {
    /// A record that is dropped unsettled belongs to a caller that left.
    fn drop(&mut self) {
        if !self.settled {
            self.core.note_left(self.request, self.tried.len());
        }
    }
}

/// Returns the answer for a request that is given up.
pub(super) fn final_answer(tries: &TryRecord<'_>) -> FrontAnswer {
    if tries.maybe_run || tries.broke.is_some() {
        return FrontAnswer::maybe_run(ResultCode::BackendBroke);
    }
    let Some(refusal) = tries.refusal else {
        let code = if tries.tried.is_empty() {
            ResultCode::NoBackend
        } else {
            ResultCode::NodeUnreachable
        };
        return FrontAnswer::not_run(code, RETRY_NO_BACKEND);
    };
    let retry_after = refusal.retry_after.max(RETRY_MIN);
    FrontAnswer::not_run(code_of(refusal.reason), retry_after)
}

const fn code_of(reason: RefusalReason) -> ResultCode {
    match reason {
        RefusalReason::Shut | RefusalReason::EndpointDown | RefusalReason::OtherInstance => {
            ResultCode::NoBackend
        }
        RefusalReason::Leaving | RefusalReason::Stopping => ResultCode::Draining,
        RefusalReason::Full | RefusalReason::LinkFull => ResultCode::QueueFull,
        RefusalReason::EndpointRefused => ResultCode::BackendRefused,
    }
}
