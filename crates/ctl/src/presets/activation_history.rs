//! Past activations.

use geranium_model::{InForce, PresetVersion, platform_keys};
use geranium_platform::{PlatformStore, Revision};
use snafu::ResultExt;

use super::record;
use crate::{CtlError, GuardedWrite, Patience, Settled, ctl_error::PlatformSnafu, settle};

/// Returns every activation, oldest first.
///
/// The newest one's entry may be missing after a crash; the in-force record
/// stands in for it.
///
/// # Errors
///
/// A failure of the platform, or [`CtlError::BadRecord`].
pub fn activation_history(store: &dyn PlatformStore) -> Result<Vec<InForce>, CtlError> {
    let in_force = record::latest(store, platform_keys::IN_FORCE)?;
    let entries = store
        .list(platform_keys::HISTORY_PREFIX)
        .context(PlatformSnafu)?;
    let mut records: Vec<InForce> = entries
        .iter()
        .map(record::parse)
        .collect::<Result<_, _>>()?;
    let last = records
        .last()
        .map_or(PresetVersion::NONE, |record| record.version);
    records.extend(
        in_force
            .map(|(_, newest): (_, InForce)| newest)
            .filter(|newest| newest.version > last),
    );
    Ok(records)
}

/// Makes sure that `entry` stands in the history.
///
/// Every activation does this for the record that it replaces, before it does,
/// so the history has no gaps: a writer that was overtaken after a lost answer
/// finds there who had its version.
pub fn keep(
    store: &dyn PlatformStore,
    entry: &InForce,
    patience: Patience,
) -> Result<(), CtlError> {
    let write = GuardedWrite {
        key: platform_keys::history(entry.version),
        expected: Revision::NONE,
        value: record::bytes(entry),
    };
    match settle(store, &write, patience).context(PlatformSnafu)? {
        Settled::Unknown { source } => Err(CtlError::Platform { source }),
        Settled::Written { .. } | Settled::Lost { .. } | Settled::Overtaken { .. } => Ok(()),
    }
}

/// Returns the activation that had `version`.
pub fn find(
    store: &dyn PlatformStore,
    version: PresetVersion,
) -> Result<Option<InForce>, CtlError> {
    let found = record::latest(store, &platform_keys::history(version))?;
    Ok(found.map(|(_, activation)| activation))
}
