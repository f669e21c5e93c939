//! Paths of the built programs.

use std::{
    env,
    path::{Path, PathBuf},
};

use crate::RigError;

/// Environment variable that names the programs' directory.
const DIRECTORY_VARIABLE: &str = "GERANIUM_PROGRAMS";

/// The directory that holds the built programs.
#[derive(Debug, Clone)]
pub struct ProgramPaths {
    directory: PathBuf,
}

impl ProgramPaths {
    /// Finds the directory: the value of `GERANIUM_PROGRAMS`, or else the directory of
    /// the running program, or for a test its parent.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_rig::ProgramPaths;
    ///
    /// assert!(ProgramPaths::find().program("no-such-program").is_err());
    /// ```
    pub fn find() -> Self {
        if let Some(directory) = env::var_os(DIRECTORY_VARIABLE) {
            return Self {
                directory: directory.into(),
            };
        }
        let running = env::current_exe().unwrap_or_default();
        let directory = running.parent().unwrap_or(Path::new("."));
        let holds_tests = directory.ends_with("deps");
        let directory = if holds_tests {
            directory.parent()
        } else {
            Some(directory)
        };
        Self {
            directory: directory.unwrap_or(Path::new(".")).to_owned(),
        }
    }

    /// Returns the path of a program.
    ///
    /// # Errors
    ///
    /// Returns an error if the program hasn't been built.
    pub fn program(&self, name: &str) -> Result<PathBuf, RigError> {
        let path = self.directory.join(name);
        if path.is_file() {
            Ok(path)
        } else {
            Err(RigError::MissingProgram { path })
        }
    }
}
