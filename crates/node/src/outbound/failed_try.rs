//! Recording of tries that ended without a response of the backend server.

use super::{
    TryFailure,
    try_flow::{NextTry, TryFlow},
    try_record::TryRecord,
};
use crate::{
    inbound::{InboundRefusal, RefusalReason},
    member::TryOutcome,
};

impl TryFlow<'_> {
    /// Records why a try failed in the request's record, the fleet view, the log and
    /// metrics.
    pub(super) fn record_failure(
        self,
        tries: &mut TryRecord<'_>,
        sent_try: &NextTry,
        failure: TryFailure,
    ) {
        tries.in_flight -= 1;
        let record = &sent_try.record;
        match failure {
            TryFailure::Refused(refusal) if refusal.reason == RefusalReason::Busy => {
                tries.record_busy(sent_try.key);
                tries.record_not_arrived();
            }
            TryFailure::Refused(refusal) => {
                if let Some(outcome) = outcome_of(refusal) {
                    self.record_outcome(sent_try, outcome);
                }
                if !refusal.reason.reached_endpoint() {
                    tries.record_not_arrived();
                }
                if refusal.reason == RefusalReason::Full {
                    self.record_share_try(true);
                }
                tries.crashes_servers |= refusal.reason == RefusalReason::Poisoned;
                if refusal.reason == RefusalReason::KeyUnknown {
                    tries.key_reply = Some(self.core.reply_to_unknown_key(self.request));
                }
                tries.refusal = Some(refusal);
                self.core.record_refusal(self.request, record, &refusal);
            }
            TryFailure::Unreachable(reason) => {
                self.record_outcome(sent_try, TryOutcome::Unreachable);
                tries.record_not_arrived();
                self.core.record_unreachable(self.request, record, &reason);
            }
            TryFailure::ResponseLost { reason, diagnosis } => {
                if tries.versions.is_trial {
                    self.core.record_trial(&self.request.service, true);
                }
                self.record_outcome(sent_try, TryOutcome::ResponseLost);
                if let Some(diagnosis) = diagnosis {
                    tries.crashes_servers |= diagnosis.is_suspicious();
                    self.core
                        .record_diagnosis(self.request.fingerprint, diagnosis);
                }
                self.core.record_broken_try(self.request, record, &reason);
                tries.earlier_try_may_have_run = true;
                tries.failure_cause = Some(reason);
            }
        }
    }

    fn record_outcome(self, sent_try: &NextTry, outcome: TryOutcome) {
        let now = self.core.clock.now();
        let mut fleet = self.core.fleet.borrow_mut();
        fleet.record_try_outcome(now, sent_try.key, outcome);
    }
}

/// Returns what a refusal says about the member.
///
/// The result is none if the refusal concerns only the request.
const fn outcome_of(refusal: InboundRefusal) -> Option<TryOutcome> {
    let retry_after = refusal.retry_after;
    match refusal.reason {
        RefusalReason::LinkFull => Some(TryOutcome::LinkRefused { retry_after }),
        RefusalReason::Limited => Some(TryOutcome::LimitRefused { retry_after }),
        RefusalReason::Busy
        | RefusalReason::Full
        | RefusalReason::CallsFail
        | RefusalReason::EndpointRefused => Some(TryOutcome::Refused { retry_after }),
        RefusalReason::Shut
        | RefusalReason::Leaving
        | RefusalReason::OtherInstance
        | RefusalReason::EndpointDown
        | RefusalReason::Stopping => Some(TryOutcome::NoBackend),
        RefusalReason::Poisoned
        | RefusalReason::ConfigBehind
        | RefusalReason::KeyUnknown
        | RefusalReason::KeyUnproven => None,
    }
}
