//! Past activations.

use geranium_model::{InForce, PresetVersion, platform_keys};
use geranium_platform::{PlatformStore, Revision};
use snafu::ResultExt;

use super::record;
use crate::{CtlError, GuardedWrite, Patience, Settled, ctl_error::PlatformSnafu, settle};

/// Returns the last `count` activations, oldest first.
///
/// Each entry is read by its version, so the work doesn't grow with the years:
/// a list of all would outgrow an answer within months at 1,400 a day. The
/// newest one's entry may be missing after a crash; the in-force record stands
/// in for it.
///
/// # Errors
///
/// A failure of the platform, or [`CtlError::BadRecord`].
pub fn activation_history(store: &dyn PlatformStore, count: u64) -> Result<Vec<InForce>, CtlError> {
    let in_force = record::latest(store, platform_keys::IN_FORCE)?;
    let Some((_, newest)) = in_force else {
        return Ok(Vec::new());
    };
    let newest: InForce = newest;
    let version = newest.version.get();
    let oldest = version.saturating_sub(count.saturating_sub(1)).max(1);
    let mut records = Vec::new();
    for version in (oldest..version).map(PresetVersion::new) {
        records.extend(read(store, version)?);
    }
    records.push(newest);
    Ok(records)
}

/// Reads an entry, which never changes: only its absence can be stale.
fn read(store: &dyn PlatformStore, version: PresetVersion) -> Result<Option<InForce>, CtlError> {
    let entry = store
        .get(&platform_keys::history(version))
        .context(PlatformSnafu)?;
    match entry {
        Some(entry) => record::parse(&entry).map(Some),
        None => find(store, version),
    }
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
