//! Activation of presets: writing one as the configuration in force.

use geranium_node::{
    config::ConfigVersion,
    store::{MetaStore, StoreWrite},
};

use super::{
    ActivationRecord, ConfigCodec, ConfigInForce, PresetCatalogue, PresetName,
    activation_history::read_slot, record,
};
use crate::{CtlError, RetrySchedule, WriteOutcome, WriteStamp, write_with_retries};

/// An operator's request to put a preset in force.
#[derive(Debug, Clone)]
pub struct ActivationRequest {
    /// Name of the preset.
    pub preset: PresetName,
    /// Version that must be in force now, if the operator gave one.
    pub expect_version: Option<ConfigVersion>,
    /// Operator, time and identifier of the write.
    pub stamp: WriteStamp,
}

/// An activation that took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Activation {
    /// Record of the activation in the history.
    pub record: ActivationRecord,
    /// Whether the store acknowledged the write.
    ///
    /// False means that the response was lost and the record was then found in the history.
    pub acknowledged: bool,
}

/// Puts a preset in force under the next version.
///
/// Configuration and history are written in one transaction, on condition that the
/// configuration hasn't changed since it was read. So only one of several concurrent
/// activations succeeds, and a crash leaves either the old version or the new one, complete. The
/// accounts in force stay, as presets have none.
///
/// # Errors
///
/// Returns [`CtlError::NotActivated`] if another version is in force than expected or
/// another activation came first, and [`CtlError::WriteUnknown`] if it isn't known whether the
/// write took effect. After any other error, such as a bad preset or a failure of the store,
/// nothing was changed.
pub async fn activate(
    store: &impl MetaStore,
    codec: ConfigCodec,
    request: &ActivationRequest,
    retry_schedule: RetrySchedule,
) -> Result<Activation, CtlError> {
    let catalogue = PresetCatalogue::new(store, retry_schedule);
    let preset = catalogue.get(&request.preset).await?;
    preset.document.check(preset.name.as_str())?;
    let in_force = ConfigInForce::read(store, codec).await?;
    if request
        .expect_version
        .is_some_and(|expected| expected != in_force.version())
    {
        return Err(not_activated_error(store, in_force.version()).await);
    }
    let version = in_force.next_version(store).await?;
    let record = ActivationRecord {
        version,
        preset: preset.name,
        change: None,
        stamp: request.stamp.clone(),
        era: in_force.revision.era(),
    };
    let input = preset.document.into_input(version);
    let value = (codec.write)(&input, in_force.value.as_deref());
    put_in_force(store, codec, &in_force, record, &value, retry_schedule).await
}

/// Writes `value` as the configuration in force, with its record in the history.
///
/// # Errors
///
/// As for [`activate`].
pub async fn put_in_force(
    store: &impl MetaStore,
    codec: ConfigCodec,
    in_force: &ConfigInForce,
    new_record: ActivationRecord,
    value: &[u8],
    retry_schedule: RetrySchedule,
) -> Result<Activation, CtlError> {
    let version = new_record.version;
    let slot = read_slot(store, version).await?;
    let record_bytes = record::to_bytes(&new_record);
    let writes = [
        StoreWrite::put(codec.source.key, value, in_force.revision),
        StoreWrite::put(&slot.key, &record_bytes, slot.revision),
    ];
    match write_with_retries(store, &writes, retry_schedule).await {
        Ok(WriteOutcome::Done(_)) => Ok(Activation {
            record: new_record,
            acknowledged: true,
        }),
        Ok(WriteOutcome::Unknown(source)) => Err(CtlError::WriteUnknown {
            write_id: new_record.stamp.write_id,
            source,
        }),
        Ok(WriteOutcome::Refused { response_lost }) => {
            if response_lost && is_recorded(store, &new_record).await? {
                return Ok(Activation {
                    record: new_record,
                    acknowledged: false,
                });
            }
            Err(lost_race_error(store, codec, version).await)
        }
        Err(source) => Err(CtlError::Store { source }),
    }
}

/// Returns whether the history holds this activation.
///
/// A write refused after a lost response may have taken effect with an earlier try.
///
/// # Errors
///
/// Returns [`CtlError::WriteUnknown`] if the store can't be read, as the outcome is then
/// unknown, and [`CtlError::BadRecord`] if the record can't be parsed.
async fn is_recorded(
    store: &impl MetaStore,
    new_record: &ActivationRecord,
) -> Result<bool, CtlError> {
    match read_slot(store, new_record.version).await {
        Ok(slot) => Ok(slot.record.as_ref() == Some(new_record)),
        Err(CtlError::Store { source }) => Err(CtlError::WriteUnknown {
            write_id: new_record.stamp.write_id.clone(),
            source,
        }),
        Err(other) => Err(other),
    }
}

/// Returns the error for an activation that another one preceded.
///
/// The error names the version now in force. If the store can't be read, it names `version`,
/// which this activation would have had and which is the lowest that can be in force now.
async fn lost_race_error(
    store: &impl MetaStore,
    codec: ConfigCodec,
    version: ConfigVersion,
) -> CtlError {
    let version_now = match ConfigInForce::read(store, codec).await {
        Ok(in_force) => in_force.version(),
        Err(_) => version,
    };
    not_activated_error(store, version_now).await
}

/// Returns [`CtlError::NotActivated`] with the activation of the version in force.
///
/// The activation is left out if the history doesn't hold its record or can't be read.
async fn not_activated_error(store: &impl MetaStore, in_force: ConfigVersion) -> CtlError {
    let last = match read_slot(store, in_force).await {
        Ok(slot) => slot.record.filter(|record| record.version == in_force),
        // The record only adds detail to the message; the version in force is enough.
        Err(_) => None,
    };
    CtlError::NotActivated {
        in_force,
        last: last.map(Box::new),
    }
}
