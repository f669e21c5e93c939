//! The operators' client, run as a process.

use std::{net::SocketAddr, path::Path, process::Command};

use snafu::ResultExt;

use crate::{ProgramPaths, RigError, rig_error::ProcessSnafu};

/// Name under which the rig writes.
const OPERATOR: &str = "rig";

/// Runs `geranium-ctl` against one platform.
#[derive(Debug, Clone)]
pub struct OperatorClient {
    programs: ProgramPaths,
    platform: SocketAddr,
}

impl OperatorClient {
    /// Makes a client for the platform at an address.
    pub fn new(programs: &ProgramPaths, platform: SocketAddr) -> Self {
        Self {
            programs: programs.clone(),
            platform,
        }
    }

    /// Stores a preset.
    ///
    /// # Errors
    ///
    /// Returns an error that holds what the client printed.
    pub fn put(&self, name: &str, file: &Path) -> Result<(), RigError> {
        self.run(&["put", name, &file.display().to_string()])
    }

    /// Puts a preset in force.
    ///
    /// # Errors
    ///
    /// Returns an error that holds what the client printed.
    pub fn activate(&self, name: &str) -> Result<(), RigError> {
        self.run(&["activate", name])
    }

    fn run(&self, arguments: &[&str]) -> Result<(), RigError> {
        let mut command = Command::new(self.programs.program("geranium-ctl")?);
        command
            .env("GERANIUM_OPERATOR", OPERATOR)
            .arg("--platform")
            .arg(format!("http://{}", self.platform))
            .args(arguments);
        let output = command.output().context(ProcessSnafu {
            name: "geranium-ctl",
        })?;
        if output.status.success() {
            return Ok(());
        }
        let printed = [output.stdout, output.stderr].concat();
        Err(RigError::Operator {
            command: arguments.join(" "),
            answer: String::from_utf8_lossy(&printed).trim().to_owned(),
        })
    }
}
