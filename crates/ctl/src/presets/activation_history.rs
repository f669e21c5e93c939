//! History of activations in the store.

use geranium_node::{
    config::ConfigVersion,
    store::{MetaStore, ReadConsistency, Revision},
};
use snafu::ResultExt;

use super::{ActivationRecord, record};
use crate::{CtlError, ctl_error::StoreSnafu};

/// Prefix of the history's keys; the number of a slot follows the prefix.
const HISTORY_PREFIX: &str = "geranium-operator/history/";
/// Number of slots of the history, which are reused in turn.
///
/// At 1,400 changes a day they cover four hours; older activations are in the logs.
const HISTORY_SLOTS: u64 = 256;

/// Returns the last `count` activations that the history holds, oldest first.
///
/// # Errors
///
/// Returns [`CtlError::Store`] if the store fails and [`CtlError::BadRecord`] if a record
/// can't be parsed.
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

/// Reads the history slot in which the record of a version is kept.
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

/// Slot of the history, as read from the store.
#[derive(Debug)]
pub(super) struct HistorySlot {
    /// Key of the slot in the store.
    pub(super) key: String,
    /// Revision of the key; 0 while the slot is empty.
    pub(super) revision: Revision,
    /// Record in the slot, if any.
    ///
    /// The record is of the version asked for, or of an older one that used the same slot.
    pub(super) record: Option<ActivationRecord>,
}
