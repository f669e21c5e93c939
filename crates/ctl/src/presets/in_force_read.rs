//! The record in force, for reports.

use geranium_model::{InForce, platform_keys};
use geranium_platform::PlatformStore;
use snafu::ResultExt;

use super::record;
use crate::{CtlError, ctl_error::PlatformSnafu};

/// Reads the record in force; it may be stale, so nothing is decided by it.
pub fn read_in_force(store: &dyn PlatformStore) -> Result<Option<InForce>, CtlError> {
    let entry = store.get(platform_keys::IN_FORCE).context(PlatformSnafu)?;
    entry.as_ref().map(record::parse).transpose()
}
