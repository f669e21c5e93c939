//! Writes through lost answers.

use geranium_node::store::{MetaStore, Revision, StoreError, StoreWrite};
use tokio::time::sleep;

use crate::RetrySchedule;

/// What became of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It was done now, at this revision.
    Done(Revision),
    /// A key isn't as expected. After a lost answer the reason may be that
    /// this very write was done.
    Refused {
        /// Whether an answer was lost before.
        lost_answer: bool,
    },
    /// No answer came, to any try.
    Unknown(StoreError),
}

/// Makes changes that name the revisions which they replace, again and again until an
/// answer comes.
///
/// A write may be done and its answer lost, or it may be done seconds later. Made again,
/// the same changes are done once at most: what is done later finds other revisions. So
/// whatever the answer says, the caller need only look whose record stands.
///
/// # Errors
///
/// What the store refused for good; nothing was changed then.
pub async fn write_with_retries(
    store: &impl MetaStore,
    writes: &[StoreWrite<'_>],
    retry_schedule: RetrySchedule,
) -> Result<WriteOutcome, StoreError> {
    let mut lost = None;
    for pause in retry_schedule.pauses() {
        sleep(pause).await;
        match store.commit(writes).await {
            Ok(revision) => return Ok(WriteOutcome::Done(revision)),
            Err(StoreError::Conflict { .. }) => {
                let lost_answer = matches!(lost, Some(StoreError::NoAnswer { .. }));
                return Ok(WriteOutcome::Refused { lost_answer });
            }
            Err(failure @ StoreError::NoAnswer { .. }) => lost = Some(failure),
            // Nothing was done; that a lost answer came before still counts.
            Err(failure @ StoreError::Busy { .. }) => {
                lost = lost.or(Some(failure));
            }
            Err(failure) if lost.is_none() => return Err(failure),
            Err(failure) => return Ok(WriteOutcome::Unknown(failure)),
        }
    }
    match lost {
        Some(failure @ StoreError::NoAnswer { .. }) => Ok(WriteOutcome::Unknown(failure)),
        Some(failure) => Err(failure),
        None => Err(StoreError::Busy { status: 0 }),
    }
}
