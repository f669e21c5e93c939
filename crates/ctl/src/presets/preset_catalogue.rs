//! The operators' named presets.

use geranium_node::store::{MetaStore, ReadConsistency, StoreWrite};
use snafu::{OptionExt, ResultExt};

use super::{PresetDocument, PresetName, PresetRecord, record};
use crate::{
    CtlError, RetrySchedule, SettledWrite, WriteStamp,
    ctl_error::{StoreSnafu, UnknownPresetSnafu},
    settle,
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
        let own = PresetRecord {
            name: name.clone(),
            stamp,
            document,
        };
        let value = record::bytes(&own);
        let writes = [StoreWrite::put(&key, &value, revision)];
        match settle(self.store, &writes, self.retry_schedule).await {
            Ok(SettledWrite::Done(_)) => Ok(own),
            Ok(SettledWrite::Unknown(source)) => Err(CtlError::WriteUnknown {
                operation: own.stamp.operation,
                source,
            }),
            Ok(SettledWrite::Refused { lost_answer }) => {
                let current = match self.get(name).await {
                    Err(CtlError::Store { source }) if lost_answer => {
                        let operation = own.stamp.operation;
                        return Err(CtlError::WriteUnknown { operation, source });
                    }
                    found => found?,
                };
                if current.stamp == own.stamp {
                    return Ok(own);
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
