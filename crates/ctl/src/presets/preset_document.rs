//! Preset documents, which operators write.

use std::{fs, path::Path, rc::Rc};

use geranium_node::config::{
    ConfigInput, ConfigVersion, LimitsInput, MeshConfig, RouteInput, ServiceInput,
};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::{
    CtlError,
    ctl_error::{BadDocumentSnafu, FileSnafu},
};

/// Configuration without a version, as an operator writes it in a file.
///
/// The version is assigned when the preset is activated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresetDocument {
    /// Services that routes may name.
    pub services: Vec<ServiceInput>,
    /// Routes, which map hosts and paths to services.
    pub routes: Vec<Rc<RouteInput>>,
    /// Limits on callers' requests.
    pub limits: LimitsInput,
}

impl PresetDocument {
    /// Reads a document from a JSON file and checks it.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::File`] if the file can't be read, [`CtlError::BadFile`] with line
    /// and field if it can't be parsed, and [`CtlError::BadDocument`] if a check fails.
    pub fn from_file(path: &Path) -> Result<Self, CtlError> {
        let text = fs::read(path).context(FileSnafu { path })?;
        let mut parser = serde_json::Deserializer::from_slice(&text);
        let parsed: Result<Self, _> = serde_path_to_error::deserialize(&mut parser);
        let document = parsed.map_err(|error| CtlError::BadFile {
            path: path.to_owned(),
            line: error.inner().line(),
            field: error.path().to_string(),
            reason: error.inner().to_string(),
        })?;
        parser.end().map_err(|error| CtlError::BadFile {
            path: path.to_owned(),
            line: error.line(),
            field: ".".to_owned(),
            reason: error.to_string(),
        })?;
        document.check(&path.display().to_string())?;
        Ok(document)
    }

    /// Runs the checks that nodes run on a configuration.
    ///
    /// `origin` is the file or preset that error messages name.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::BadDocument`] if a check fails.
    pub fn check(&self, origin: &str) -> Result<(), CtlError> {
        let input = self.clone().into_input(ConfigVersion(0));
        let checked = MeshConfig::checked(Rc::new(input), None);
        checked.map(drop).context(BadDocumentSnafu { origin })
    }

    /// Returns the configuration with this content and the given version.
    pub fn into_input(self, version: ConfigVersion) -> ConfigInput {
        ConfigInput {
            version,
            routes: self.routes,
            services: self.services,
            limits: self.limits,
            accounts: Vec::new(),
        }
    }
}
