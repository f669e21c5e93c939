//! Writes that are retried when their response is lost or the store is busy.

use geranium_node::store::{MetaStore, Revision, StoreError, StoreWrite};
use tokio::time::sleep;

use crate::RetrySchedule;

/// Outcome of a write with its retries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The store acknowledged the write, at this revision.
    Done(Revision),
    /// A key isn't at the expected revision.
    ///
    /// After a lost response the reason may be that an earlier try of this write took effect.
    Refused {
        /// Whether an earlier try got no response.
        response_lost: bool,
    },
    /// Whether the write took effect isn't known.
    ///
    /// The error is that of one of the tries.
    Unknown(StoreError),
}

/// Commits conditional writes in one transaction, with retries.
///
/// A try without a response, or with the response that the store is busy, is repeated until
/// the tries are used up; any other response ends the retries. Each write must name the
/// revision that it replaces. A try whose response is lost may have taken effect, or may do so
/// seconds later. Retries are safe all the same: the writes take effect once at most, as a
/// later try finds other revisions. After
/// [`WriteOutcome::Refused`], the caller reads the record to see whose write took effect.
///
/// # Errors
///
/// Returns the store's error if nothing was changed.
pub async fn write_with_retries(
    store: &impl MetaStore,
    writes: &[StoreWrite<'_>],
    retry_schedule: RetrySchedule,
) -> Result<WriteOutcome, StoreError> {
    let mut earlier_failure = None;
    for pause in retry_schedule.pauses() {
        sleep(pause).await;
        match store.commit(writes).await {
            Ok(revision) => return Ok(WriteOutcome::Done(revision)),
            Err(StoreError::Conflict { .. }) => {
                let response_lost = matches!(earlier_failure, Some(StoreError::NoAnswer { .. }));
                return Ok(WriteOutcome::Refused { response_lost });
            }
            Err(failure @ StoreError::NoAnswer { .. }) => earlier_failure = Some(failure),
            // This try did nothing, but an earlier one without a response may have taken effect.
            Err(failure @ StoreError::Busy { .. }) => {
                earlier_failure = earlier_failure.or(Some(failure));
            }
            Err(failure) if earlier_failure.is_none() => return Err(failure),
            Err(failure) => return Ok(WriteOutcome::Unknown(failure)),
        }
    }
    match earlier_failure {
        Some(failure @ StoreError::NoAnswer { .. }) => Ok(WriteOutcome::Unknown(failure)),
        Some(failure) => Err(failure),
        None => Err(StoreError::Busy { status: 0 }),
    }
}
