//! The history of activations.

use geranium_node::{
    config::ConfigVersion,
    store::{MetaStore, ReadConsistency, Revision},
};
use snafu::ResultExt;

use super::{ActivationRecord, record};
use crate::{CtlError, ctl_error::StoreSnafu};

/// Prefix of the keys of the history.
const HISTORY_PREFIX: &str = "geranium-operator/history/";
/// Places of the history, used in turn: four hours' worth at 1,400 changes a
/// day. Logs hold what is older.
const HISTORY_SLOTS: u64 = 256;

/// Returns the last `count` activations, oldest first.
///
/// # Errors
///
/// [`CtlError::Store`] or [`CtlError::BadRecord`].
pub async fn activation_history(
    store: &impl MetaStore,
    count: usize,
) -> Result<Vec<ActivationRecord>, CtlError> {
    let list = store
        .list(HISTORY_PREFIX, ReadConsistency::Linearizable)
        .await
        .context(StoreSnafu)?;
    let items = list.items.iter();
    let records: Result<Vec<ActivationRecord>, CtlError> = items
        .map(|item| record::parse(&item.key, &item.value))
        .collect();
    let mut records = records?;
    records.sort_by_key(|record| record.version);
    let excess = records.len().saturating_sub(count);
    records.drain(..excess);
    Ok(records)
}

/// Returns the place of a version in the history, and what stands there.
pub(super) async fn read_slot(
    store: &impl MetaStore,
    version: ConfigVersion,
) -> Result<HistorySlot, CtlError> {
    let key = format!("{HISTORY_PREFIX}{:03}", version.0 % HISTORY_SLOTS);
    let (revision, record) = record::read(store, &key).await?;
    Ok(HistorySlot {
        key,
        revision,
        record,
    })
}

/// A place in the history.
#[derive(Debug)]
pub(super) struct HistorySlot {
    /// Key.
    pub(super) key: String,
    /// Revision of the key; 0 while nothing stands there.
    pub(super) revision: Revision,
    /// What stands there: that version's activation, or an older one's.
    pub(super) record: Option<ActivationRecord>,
}
