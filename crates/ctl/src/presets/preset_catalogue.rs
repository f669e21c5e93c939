//! Access to the named presets in the store.

use geranium_node::store::{MetaStore, ReadConsistency, StoreWrite};
use snafu::{OptionExt, ResultExt};

use super::{PresetDocument, PresetName, PresetRecord, record};
use crate::{
    CtlError, RetrySchedule, WriteOutcome, WriteStamp,
    ctl_error::{StoreSnafu, UnknownPresetSnafu},
    write_with_retries,
};

/// Prefix of the keys that hold presets; the preset's name follows the prefix.
const PRESET_PREFIX: &str = "geranium-operator/preset/";

/// Named presets in a store, for listing, reading and writing.
#[derive(Debug)]
pub struct PresetCatalogue<'a, S> {
    store: &'a S,
    retry_schedule: RetrySchedule,
}

impl<'a, S: MetaStore> PresetCatalogue<'a, S> {
    /// Creates a catalogue of the presets in `store`, with `retry_schedule` for its writes.
    pub const fn new(store: &'a S, retry_schedule: RetrySchedule) -> Self {
        Self {
            store,
            retry_schedule,
        }
    }

    /// Returns every preset, sorted by name.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::Store`] if the store fails and [`CtlError::BadRecord`] if a record
    /// can't be parsed.
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

    /// Returns the preset with this name.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::UnknownPreset`] if there is none, [`CtlError::Store`] if the store
    /// fails and [`CtlError::BadRecord`] if the record can't be parsed.
    pub async fn get(&self, name: &PresetName) -> Result<PresetRecord, CtlError> {
        let (_, preset) = record::read(self.store, &key_of(name)).await?;
        preset.context(UnknownPresetSnafu {
            preset: name.clone(),
        })
    }

    /// Stores a document under a name, replacing an earlier preset of that name.
    ///
    /// The document must have passed [`PresetDocument::check`].
    ///
    /// A compare-and-swap keeps two operators from overwriting each other unnoticed.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::NotStored`] if another operator stored a preset under the name between
    /// the read and the write, [`CtlError::WriteUnknown`] if it isn't known whether the write
    /// took effect, and [`CtlError::Store`] if the store failed and nothing was written.
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
                write_id: new_record.stamp.write_id,
                source,
            }),
            Ok(WriteOutcome::Refused { response_lost }) => {
                let current = match self.get(name).await {
                    Err(CtlError::Store { source }) if response_lost => {
                        let write_id = new_record.stamp.write_id;
                        return Err(CtlError::WriteUnknown { write_id, source });
                    }
                    found => found?,
                };
                if current.stamp == new_record.stamp {
                    return Ok(new_record);
                }
                let current = Box::new(current);
                Err(CtlError::NotStored { current })
            }
            Err(source) => Err(CtlError::Store { source }),
        }
    }
}

fn key_of(name: &PresetName) -> String {
    format!("{PRESET_PREFIX}{name}")
}
