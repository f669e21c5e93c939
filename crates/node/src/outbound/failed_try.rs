//! What follows from a try that ended without an answer.

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
    /// Takes in how a try ended without an answer.
    pub(super) fn note_failure(
        self,
        tries: &mut TryRecord<'_>,
        asked: &NextTry,
        failure: TryFailure,
    ) {
        tries.under_way -= 1;
        let record = &asked.record;
        match failure {
            TryFailure::Refused(refusal) if refusal.reason == RefusalReason::Busy => {
                tries.was_busy(asked.key);
                tries.never_arrived();
            }
            TryFailure::Refused(refusal) => {
                if let Some(end) = end_of(refusal) {
                    self.judge(asked, end);
                }
                if !refusal.reason.reached_endpoint() {
                    tries.never_arrived();
                }
                tries.crashes_servers |= refusal.reason == RefusalReason::Poisoned;
                tries.refusal = Some(refusal);
                self.core.record_refusal(self.request, record, &refusal);
            }
            TryFailure::Unreachable(reason) => {
                self.judge(asked, TryOutcome::Unreachable);
                tries.never_arrived();
                self.core.record_unreachable(self.request, record, &reason);
            }
            TryFailure::ResponseLost { reason, diagnosis } => {
                self.judge(asked, TryOutcome::ResponseLost);
                if let Some(diagnosis) = diagnosis {
                    tries.crashes_servers |= diagnosis.is_suspicious();
                    self.core
                        .record_diagnosis(self.request.fingerprint, diagnosis);
                }
                self.core.record_broken_try(self.request, record, &reason);
                tries.ran = true;
                tries.broke = Some(reason);
            }
        }
    }

    fn judge(self, asked: &NextTry, end: TryOutcome) {
        let now = self.core.clock.now();
        let mut fleet = self.core.fleet.borrow_mut();
        fleet.record_try_outcome(now, asked.key, end);
    }
}

/// Returns what a refusal says of the member; nothing where it concerns the request alone.
const fn end_of(refusal: InboundRefusal) -> Option<TryOutcome> {
    let retry_after = refusal.retry_after;
    match refusal.reason {
        RefusalReason::LinkFull => Some(TryOutcome::LinkRefused { retry_after }),
        RefusalReason::Busy | RefusalReason::Full | RefusalReason::EndpointRefused => {
            Some(TryOutcome::Refused { retry_after })
        }
        RefusalReason::Shut
        | RefusalReason::Leaving
        | RefusalReason::OtherInstance
        | RefusalReason::EndpointDown
        | RefusalReason::Stopping => Some(TryOutcome::NoBackend),
        RefusalReason::Poisoned => None,
    }
}
