//! Putting presets in force.

use geranium_node::{
    config::ConfigVersion,
    store::{MetaStore, ReadConsistency, Revision, StoreEra, StoreWrite},
};
use snafu::ResultExt;

use super::{
    ActivationRecord, ConfigCodec, PresetCatalogue, PresetName, activation_history::read_slot,
    record,
};
use crate::{
    CtlError, RetrySchedule, WriteOutcome, WriteStamp,
    ctl_error::{BadDocumentSnafu, StoreSnafu},
    write_with_retries,
};

/// What an operator wants in force.
#[derive(Debug, Clone)]
pub struct ActivationRequest {
    /// Preset.
    pub preset: PresetName,
    /// Version that must be in force now, if the operator says so.
    pub expect_version: Option<ConfigVersion>,
    /// Who asks.
    pub stamp: WriteStamp,
}

/// Step over the versions that a store may have lost with its latest seconds.
const VERSION_STEP_AFTER_RESTORE: u64 = 1_000;

/// An activation that took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Activation {
    /// Its record.
    pub record: ActivationRecord,
    /// False when the answer was lost and the own record was recognised.
    pub answered: bool,
}

/// Puts a preset in force under the next version.
///
/// Configuration and history are written together, under the condition that
/// the version read before is still in force: of several operators one wins,
/// and a crash leaves the old version or the new one, whole.
///
/// # Errors
///
/// [`CtlError::LostActivation`] when another version is in force than expected
/// or another activation came first; [`CtlError::WriteUnknown`] when no answer
/// came; a bad preset or a failure of the store otherwise, with nothing
/// changed.
pub async fn activate(
    store: &impl MetaStore,
    codec: ConfigCodec,
    request: &ActivationRequest,
    retry_schedule: RetrySchedule,
) -> Result<Activation, CtlError> {
    let catalogue = PresetCatalogue::new(store, retry_schedule);
    let preset = catalogue.get(&request.preset).await?;
    preset.document.check(preset.name.as_str())?;
    let (revision, in_force) = in_force(store, codec).await?;
    if request
        .expect_version
        .is_some_and(|expected| expected != in_force)
    {
        return Err(lost_activation_error(store, in_force).await);
    }
    let era = revision.era();
    let version = next_version(store, in_force, era).await?;
    let new_record = ActivationRecord {
        version,
        preset: preset.name,
        stamp: request.stamp.clone(),
        era,
    };
    let slot = read_slot(store, version).await?;
    let entry = record::to_bytes(&new_record);
    let config = (codec.write)(&preset.document.into_input(version));
    let writes = [
        StoreWrite::put(codec.source.key, &config, revision),
        StoreWrite::put(&slot.key, &entry, slot.revision),
    ];
    match write_with_retries(store, &writes, retry_schedule).await {
        Ok(WriteOutcome::Done(_)) => Ok(Activation {
            record: new_record,
            answered: true,
        }),
        Ok(WriteOutcome::Unknown(source)) => Err(CtlError::WriteUnknown {
            operation: new_record.stamp.operation,
            source,
        }),
        Ok(WriteOutcome::Refused { lost_answer }) => {
            if lost_answer && is_recorded(store, &new_record).await? {
                return Ok(Activation {
                    record: new_record,
                    answered: false,
                });
            }
            Err(lost_race_error(store, codec, version).await)
        }
        Err(source) => Err(CtlError::Store { source }),
    }
}

/// Returns the version of the next activation, in the store's era `era`.
///
/// A store that has come back from an older copy since the last one may have lost later
/// versions. Nodes hold those and take none that isn't higher.
async fn next_version(
    store: &impl MetaStore,
    in_force: ConfigVersion,
    era: StoreEra,
) -> Result<ConfigVersion, CtlError> {
    let last = read_slot(store, in_force).await?.record;
    let last = last.filter(|record| record.version == in_force);
    let step = if last.is_some_and(|record| record.era < era) {
        VERSION_STEP_AFTER_RESTORE
    } else {
        1
    };
    Ok(ConfigVersion(in_force.0 + step))
}

/// Finds out whether an activation that was refused after a lost answer had
/// been done before, unheard. While the store can't tell, nobody knows.
async fn is_recorded(
    store: &impl MetaStore,
    new_record: &ActivationRecord,
) -> Result<bool, CtlError> {
    match read_slot(store, new_record.version).await {
        Ok(slot) => Ok(slot.record.as_ref() == Some(new_record)),
        Err(CtlError::Store { source }) => Err(CtlError::WriteUnknown {
            operation: new_record.stamp.operation.clone(),
            source,
        }),
        Err(other) => Err(other),
    }
}

/// Says who came first; `version` is the least that is in force by now.
async fn lost_race_error(
    store: &impl MetaStore,
    codec: ConfigCodec,
    version: ConfigVersion,
) -> CtlError {
    let now = match in_force(store, codec).await {
        Ok((_, now)) => now,
        Err(_) => version,
    };
    lost_activation_error(store, now).await
}

/// Returns the version in force and the revision of its key; 0 for none.
async fn in_force(
    store: &impl MetaStore,
    codec: ConfigCodec,
) -> Result<(Revision, ConfigVersion), CtlError> {
    let read = store
        .read(codec.source.key, ReadConsistency::Linearizable)
        .await
        .context(StoreSnafu)?;
    let Some(item) = read.item else {
        return Ok((Revision(0), ConfigVersion(0)));
    };
    let input = (codec.source.parse)(&item.value);
    let input = input.context(BadDocumentSnafu { origin: &*item.key })?;
    Ok((item.revision, input.version))
}

async fn lost_activation_error(store: &impl MetaStore, in_force: ConfigVersion) -> CtlError {
    let last = match read_slot(store, in_force).await {
        Ok(slot) => slot.record.filter(|record| record.version == in_force),
        // The version alone tells enough; who made it is a courtesy.
        Err(_) => None,
    };
    CtlError::LostActivation {
        in_force,
        last: last.map(Box::new),
    }
}
