//! The operators' named presets.

use geranium_node::store::{MetaStore, ReadConsistency, StoreWrite};
use snafu::{OptionExt, ResultExt};

use super::{PresetDocument, PresetName, PresetRecord, record};
use crate::{
    CtlError, RetrySchedule, WriteOutcome, WriteStamp,
    ctl_error::{StoreSnafu, UnknownPresetSnafu},
    write_with_retries,
};

/// Prefix of the keys of presets.
const PRESET_PREFIX: &str = "geranium-operator/preset/";

/// The operators' named presets.
#[derive(Debug)]
pub struct PresetCatalogue<'a, S> {
    store: &'a S,
    retry_schedule: RetrySchedule,
}

impl<'a, S: MetaStore> PresetCatalogue<'a, S> {
    /// Looks at the presets in `store`.
    pub const fn new(store: &'a S, retry_schedule: RetrySchedule) -> Self {
        Self {
            store,
            retry_schedule,
        }
    }

    /// Lists every preset, by name.
    ///
    /// # Errors
    ///
    /// [`CtlError::Store`] or [`CtlError::BadRecord`].
    pub async fn list(&self) -> Result<Vec<PresetRecord>, CtlError> {
        let list = self
            .store
            .list(PRESET_PREFIX, ReadConsistency::Linearizable)
            .await
            .context(StoreSnafu)?;
        let items = list.items.iter();
        items
            .map(|item| record::parse(&item.key, &item.value))
            .collect()
    }

    /// Returns a preset.
    ///
    /// # Errors
    ///
    /// [`CtlError::UnknownPreset`], [`CtlError::Store`] or
    /// [`CtlError::BadRecord`].
    pub async fn get(&self, name: &PresetName) -> Result<PresetRecord, CtlError> {
        let (_, preset) = record::read(self.store, &key_of(name)).await?;
        preset.context(UnknownPresetSnafu {
            preset: name.clone(),
        })
    }

    /// Stores a checked document under a name.
    ///
    /// # Errors
    ///
    /// [`CtlError::LostPut`] when another operator stored one meanwhile;
    /// [`CtlError::WriteUnknown`]; [`CtlError::Store`].
    pub async fn put(
        &self,
        name: &PresetName,
        document: PresetDocument,
        stamp: WriteStamp,
    ) -> Result<PresetRecord, CtlError> {
        let key = key_of(name);
        let read = self
            .store
            .read(&key, ReadConsistency::Linearizable)
            .await
            .context(StoreSnafu)?;
        let revision = read.item.map(|item| item.revision).unwrap_or_default();
        let new_record = PresetRecord {
            name: name.clone(),
            stamp,
            document,
        };
        let value = record::to_bytes(&new_record);
        let writes = [StoreWrite::put(&key, &value, revision)];
        match write_with_retries(self.store, &writes, self.retry_schedule).await {
            Ok(WriteOutcome::Done(_)) => Ok(new_record),
            Ok(WriteOutcome::Unknown(source)) => Err(CtlError::WriteUnknown {
                operation: new_record.stamp.operation,
                source,
            }),
            Ok(WriteOutcome::Refused { lost_answer }) => {
                let current = match self.get(name).await {
                    Err(CtlError::Store { source }) if lost_answer => {
                        let operation = new_record.stamp.operation;
                        return Err(CtlError::WriteUnknown { operation, source });
                    }
                    found => found?,
                };
                if current.stamp == new_record.stamp {
                    return Ok(new_record);
                }
                let current = Box::new(current);
                Err(CtlError::LostPut { current })
            }
            Err(source) => Err(CtlError::Store { source }),
        }
    }
}

fn key_of(name: &PresetName) -> String {
    format!("{PRESET_PREFIX}{name}")
}
