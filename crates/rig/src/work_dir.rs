//! Directory for logs and journals of one run.

use std::{
    env, fs,
    path::{Path, PathBuf},
    process,
    sync::atomic::{AtomicU32, Ordering},
};

use snafu::ResultExt;

use crate::{RigError, rig_error::FileSnafu};

/// Variable that keeps the directory after the run when set.
const KEEP_VARIABLE: &str = "GERANIUM_RIG_KEEP";

static COUNT: AtomicU32 = AtomicU32::new(0);

/// A directory that is removed when dropped.
#[derive(Debug)]
pub(crate) struct WorkDir {
    path: PathBuf,
}

impl WorkDir {
    pub(crate) fn create() -> Result<Self, RigError> {
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let path = env::temp_dir().join(format!("geranium-rig-{}-{number}", process::id()));
        fs::create_dir_all(&path).context(FileSnafu { path: &path })?;
        Ok(Self { path })
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for WorkDir {
    fn drop(&mut self) {
        if env::var_os(KEEP_VARIABLE).is_none() {
            fs::remove_dir_all(&self.path).ok();
        }
    }
}
