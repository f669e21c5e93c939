//! The configuration in force, as a command reads it before it writes the next one.

use geranium_node::{
    config::{ConfigInput, ConfigVersion},
    store::{MetaStore, ReadConsistency, Revision},
};
use snafu::ResultExt;

use super::{ActivationRecord, ConfigCodec, PresetName, activation_history::read_slot};
use crate::{
    CtlError, KeyChange, WriteStamp,
    ctl_error::{BadDocumentSnafu, StoreSnafu},
};

/// Step to the next version if the store was restored from an older copy.
///
/// The step is added to the version in force. The store may have lost the versions written
/// in the seconds before the restore, far fewer than this.
const VERSION_STEP_AFTER_RESTORE: u64 = 1_000;
/// Name in the history for a configuration that wasn't activated from a preset.
const NO_PRESET: &str = "-";

/// Configuration in force, as read from the store.
#[derive(Debug, Clone)]
pub struct ConfigInForce {
    /// Revision of the configuration's key; 0 if there is no configuration.
    pub revision: Revision,
    /// Value of the key; none if there is no configuration.
    pub value: Option<Vec<u8>>,
    /// Parsed value.
    pub input: Option<ConfigInput>,
}

impl ConfigInForce {
    /// Reads the configuration in force.
    pub async fn read(store: &impl MetaStore, codec: ConfigCodec) -> Result<Self, CtlError> {
        let read = store
            .read(codec.source.key, ReadConsistency::Linearizable)
            .await
            .context(StoreSnafu)?;
        let Some(item) = read.item else {
            return Ok(Self {
                revision: Revision(0),
                value: None,
                input: None,
            });
        };
        let input = (codec.source.parse)(&item.value);
        let input = input.context(BadDocumentSnafu { origin: &*item.key })?;
        Ok(Self {
            revision: item.revision,
            value: Some(item.value),
            input: Some(input),
        })
    }

    /// Returns the version in force; 0 if there is no configuration.
    pub fn version(&self) -> ConfigVersion {
        let input = self.input.as_ref();
        input.map_or(ConfigVersion(0), |input| input.version)
    }

    /// Returns the version for the next write.
    ///
    /// If the store was restored from an older copy since the last activation, it may have lost
    /// later versions. Nodes still have those in force and accept only higher versions.
    pub async fn next_version(&self, store: &impl MetaStore) -> Result<ConfigVersion, CtlError> {
        let last = self.record(store).await?;
        let era = self.revision.era();
        let step = if last.is_some_and(|record| record.era < era) {
            VERSION_STEP_AFTER_RESTORE
        } else {
            1
        };
        Ok(ConfigVersion(self.version().0 + step))
    }

    /// Returns the record of a change that leaves the rest of the configuration as it is.
    pub async fn record_of_change(
        &self,
        store: &impl MetaStore,
        version: ConfigVersion,
        change: &KeyChange,
        stamp: WriteStamp,
    ) -> Result<ActivationRecord, CtlError> {
        let last = self.record(store).await?;
        let preset = match last {
            Some(record) => record.preset,
            None => NO_PRESET.parse::<PresetName>().expect("an allowed name"),
        };
        Ok(ActivationRecord {
            version,
            preset,
            change: Some(change.to_string()),
            stamp,
            era: self.revision.era(),
        })
    }

    /// Returns the record of the version in force, if the history holds it.
    async fn record(&self, store: &impl MetaStore) -> Result<Option<ActivationRecord>, CtlError> {
        let slot = read_slot(store, self.version()).await?;
        Ok(slot
            .record
            .filter(|record| record.version == self.version()))
    }
}
