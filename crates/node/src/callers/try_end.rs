//! How one try at a backend server ended, and what that says of the server.

use std::time::{Duration, Instant};

use geranium_decisions::picking::{BackendKey, PickReport, PickResult};
use geranium_model::{Outcome, ResultCode};

use super::front_state::FrontState;
use crate::{
    link::LinkError,
    wire::{AnswerHead, BodyPart, PeerAnswer, Refusal},
};

/// Advice after a node could not be reached: by then its neighbours know.
pub const UNREACHABLE_RETRY_MS: u32 = 500;

/// How one try ended.
#[derive(Debug)]
pub enum TryEnd {
    /// The backend server answered.
    Answered(AnswerHead, BodyPart),
    /// It didn't, for this reason.
    Refused(Refusal),
}

impl TryEnd {
    /// Reads what came back.
    pub fn of(answer: Result<PeerAnswer, LinkError>) -> Self {
        match answer {
            Ok(PeerAnswer::Answered { head, part }) => Self::Answered(head, part),
            Ok(PeerAnswer::Refused(refusal)) => Self::Refused(refusal),
            Ok(_) | Err(LinkError::Broke) => {
                Self::Refused(Refusal::maybe_run(ResultCode::NodeBroke))
            }
            Err(LinkError::NotSent) => Self::Refused(Refusal::not_run(
                ResultCode::NodeUnreachable,
                UNREACHABLE_RETRY_MS,
            )),
            Err(LinkError::TimedOut) => {
                Self::Refused(Refusal::maybe_run(ResultCode::DeadlineWhileRunning))
            }
        }
    }

    /// Says what the picker learns; `patient` is a caller that gave the route's
    /// time.
    pub fn report(&self, latency: Duration, patient: bool) -> PickReport {
        let (result, load) = match self {
            Self::Answered(head, _) => (PickResult::Answered, head.load),
            Self::Refused(refusal) => (refused_result(*refusal, patient), None),
        };
        PickReport {
            latency,
            result,
            load,
        }
    }
}

fn refused_result(refusal: Refusal, patient: bool) -> PickResult {
    match refusal.code {
        ResultCode::DeadlineWhileRunning if patient => PickResult::TimedOut,
        ResultCode::DeadlineWhileRunning
        | ResultCode::DeadlineBeforeRun
        | ResultCode::DeadlineUnreachable
            if !patient =>
        {
            PickResult::Abandoned
        }
        ResultCode::BackendBroke | ResultCode::NodeBroke => PickResult::Broke,
        ResultCode::NoBackend | ResultCode::NodeUnreachable => PickResult::Unreachable,
        _ => {
            let retry_after = Duration::from_millis(u64::from(refusal.retry_after_ms));
            PickResult::Refused { retry_after }
        }
    }
}

/// Makes the final refusal out of the last try's.
///
/// Failure guarded against: a node dies under an idempotent request, the retry
/// at the next backend server is refused as not run, and the caller hears "not
/// run" although the first try ran. It shows as a run in a backend server's
/// journal under a refusal as not run. A request did not run only if none of
/// its tries may have.
#[must_use]
pub const fn of_all_tries(last: Refusal, may_have_run: bool) -> Refusal {
    match last.outcome {
        Outcome::NotRun if may_have_run => Refusal {
            outcome: Outcome::MaybeRun,
            ..last
        },
        _ => last,
    }
}

/// Takes back "not run" where only this copy of a ticket is known of.
///
/// A caller may have sent the same ticket through another node before. Only
/// the ticket's owner can say that none of the copies ran or ever will; what
/// this node found out about its own copy proves less.
#[must_use]
pub const fn unsure(refusal: Refusal) -> Refusal {
    let own_finding = matches!(
        refusal.code,
        ResultCode::NodeUnreachable | ResultCode::DeadlineBeforeRun
    );
    if own_finding {
        Refusal {
            outcome: Outcome::MaybeRun,
            ..refusal
        }
    } else {
        refusal
    }
}

/// Reports a try to the picker even when its caller left in the middle.
#[derive(Debug)]
pub struct PendingReport<'a> {
    state: &'a FrontState,
    key: Option<BackendKey>,
    started: Instant,
    report: Option<PickReport>,
}

impl<'a> PendingReport<'a> {
    /// Notes that a try begins.
    pub fn begin(state: &'a FrontState, key: Option<BackendKey>) -> Self {
        if let Some(key) = key {
            state.sent(key);
        }
        Self {
            state,
            key,
            started: Instant::now(),
            report: None,
        }
    }

    /// Notes how it ended.
    pub fn end(mut self, end: &TryEnd, patient: bool) {
        self.report = Some(end.report(self.started.elapsed(), patient));
    }
}

impl Drop for PendingReport<'_> {
    fn drop(&mut self) {
        let latency = self.started.elapsed();
        let abandoned = PickReport {
            latency,
            result: PickResult::Abandoned,
            load: None,
        };
        if let Some(key) = self.key {
            self.state
                .done(key, self.report.take().unwrap_or(abandoned));
        }
    }
}
