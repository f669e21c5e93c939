//! Presets as operators write them.

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

/// A preset as an operator writes it: a configuration without a version, which
/// it gets when it is activated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PresetDocument {
    /// Services that routes may point at.
    pub services: Vec<ServiceInput>,
    /// Routes from hosts and paths to services.
    pub routes: Vec<Rc<RouteInput>>,
    /// Limits on what callers send.
    pub limits: LimitsInput,
}

impl PresetDocument {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// [`CtlError::File`], [`CtlError::BadFile`] with line and field, or
    /// [`CtlError::BadDocument`].
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

    /// Checks it as nodes do; `origin` says where it stands.
    ///
    /// # Errors
    ///
    /// [`CtlError::BadDocument`].
    pub fn check(&self, origin: &str) -> Result<(), CtlError> {
        let input = self.clone().into_input(ConfigVersion(0));
        let checked = MeshConfig::checked(Rc::new(input), None);
        checked.map(drop).context(BadDocumentSnafu { origin })
    }

    /// Makes the configuration that it is under a version.
    pub fn into_input(self, version: ConfigVersion) -> ConfigInput {
        ConfigInput {
            version,
            routes: self.routes,
            services: self.services,
            limits: self.limits,
        }
    }
}
