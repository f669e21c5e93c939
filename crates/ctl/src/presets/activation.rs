//! Moves of the in-force record.

use geranium_model::{InForce, PresetName, PresetVersion, platform_keys};
use geranium_platform::{Entry, PlatformStore, Revision};
use snafu::ResultExt;

use super::{PresetCatalogue, activation_history, record};
use crate::{
    CtlError, GuardedWrite, Patience, Settled, WriteStamp, ctl_error::PlatformSnafu, settle,
};

/// What an operator wants in force.
#[derive(Debug, Clone)]
pub struct ActivationRequest {
    /// Preset.
    pub preset: PresetName,
    /// Version that must be in force now, if the operator says so.
    pub expect_version: Option<PresetVersion>,
    /// Who asks.
    pub stamp: WriteStamp,
}

/// An activation that took effect.
#[derive(Debug, Clone)]
pub struct Activation {
    /// The record that was written.
    pub record: InForce,
    /// False when the answer was lost and the own record was recognised.
    pub answered: bool,
    /// The record in force now, when it replaced this one already.
    pub replaced_by: Option<InForce>,
}

/// Puts a preset in force: version + 1, by compare-and-swap.
///
/// The preset's content is read back and checked first, and the in-force
/// record is written after everything it needs, so a crash at any step leaves
/// either the old record or the new one, whole. All that is decided by is read
/// through [`PlatformStore::get_latest`]: a stale read could bring content back
/// that was replaced, though never lower or double a version, which the
/// compare-and-swap prevents.
///
/// # Errors
///
/// [`CtlError::LostActivation`] when another activation came first;
/// [`CtlError::ActivationUnknown`] when an answer was lost and none came since;
/// a bad preset or a failure of the platform otherwise, with nothing changed.
pub fn activate(
    store: &dyn PlatformStore,
    request: &ActivationRequest,
    patience: Patience,
) -> Result<Activation, CtlError> {
    let (pointer, _) = PresetCatalogue::new(store, patience).preset(&request.preset)?;
    let current: Option<(Entry, InForce)> = record::latest(store, platform_keys::IN_FORCE)?;
    let version = current
        .as_ref()
        .map_or(PresetVersion::NONE, |(_, record)| record.version);
    if request
        .expect_version
        .is_some_and(|expected| expected != version)
    {
        return Err(lost(current.map(|(_, record)| record)));
    }
    if let Some((_, replaced)) = &current {
        activation_history::keep(store, replaced, patience)?;
    }
    let record = InForce {
        version: version.next(),
        preset: request.preset.clone(),
        digest: pointer.digest,
        operation: request.stamp.operation.clone(),
        operator: request.stamp.operator.clone(),
        written_at_ms: request.stamp.written_at_ms,
    };
    let expected = current.map_or(Revision::NONE, |(entry, _)| entry.revision);
    let activation = move_record(store, expected, record, patience)?;
    // The next activation adds the entry if this write fails.
    let _kept = activation_history::keep(store, &activation.record, patience);
    Ok(activation)
}

fn move_record(
    store: &dyn PlatformStore,
    expected: Revision,
    own: InForce,
    patience: Patience,
) -> Result<Activation, CtlError> {
    let write = GuardedWrite {
        key: platform_keys::IN_FORCE.to_owned(),
        expected,
        value: record::bytes(&own),
    };
    match settle(store, &write, patience).context(PlatformSnafu)? {
        Settled::Written { answered } => Ok(Activation {
            record: own,
            answered,
            replaced_by: None,
        }),
        Settled::Lost { current } => Err(lost(current.as_ref().map(record::parse).transpose()?)),
        Settled::Overtaken { current } => judge_overtaken(store, own, current.as_ref()),
        Settled::Unknown { source } => Err(unknown(&own, source.to_string())),
    }
}

/// Finds out whether an overtaken record was in force for a while.
///
/// Whoever replaced the record of some version put it into the history before.
fn judge_overtaken(
    store: &dyn PlatformStore,
    own: InForce,
    current: Option<&Entry>,
) -> Result<Activation, CtlError> {
    let current: Option<InForce> = current.map(record::parse).transpose()?;
    let newest = current
        .as_ref()
        .map_or(PresetVersion::NONE, |record| record.version);
    if newest == own.version {
        return Err(lost(current));
    }
    let found = match activation_history::find(store, own.version) {
        Ok(found) => found,
        Err(error) => return Err(unknown(&own, error.to_string())),
    };
    match found {
        Some(record) if record.operation == own.operation => Ok(Activation {
            record: own,
            answered: false,
            replaced_by: current,
        }),
        Some(_) => Err(lost(current)),
        None => Err(unknown(&own, "the history has a gap".to_owned())),
    }
}

fn lost(current: Option<InForce>) -> CtlError {
    CtlError::LostActivation {
        current: current.map(Box::new),
    }
}

fn unknown(own: &InForce, reason: String) -> CtlError {
    CtlError::ActivationUnknown {
        operation: own.operation.clone(),
        version: own.version,
        reason,
    }
}
