//! Source of the service-level objectives.

use std::{collections::BTreeMap, fs, path::PathBuf};

use snafu::ResultExt;

use super::ServiceObjective;
use crate::{
    BurnError,
    burn_error::{BadObjectivesSnafu, FileSnafu},
};

/// Objectives by service name.
pub type Objectives = BTreeMap<String, ServiceObjective>;

/// Source of the objectives, which aren't part of the configuration.
#[derive(Debug, Clone, Default)]
pub struct ObjectiveSource {
    /// JSON file with an objective for each service.
    ///
    /// Without a file, the default objective applies to every service that has
    /// requests.
    pub path: Option<PathBuf>,
}

impl ObjectiveSource {
    /// Reads the objectives; `services` are those with requests.
    ///
    /// # Errors
    ///
    /// Returns an error when the file can't be read or parsed, or an objective in
    /// it is invalid.
    pub fn read<'a>(
        &self,
        services: impl IntoIterator<Item = &'a str>,
    ) -> Result<Objectives, BurnError> {
        let Some(path) = &self.path else {
            let default_objective = |name: &str| (name.to_owned(), ServiceObjective::default());
            return Ok(services.into_iter().map(default_objective).collect());
        };
        let text = fs::read(path).context(FileSnafu { path })?;
        let objectives: Objectives =
            serde_json::from_slice(&text).context(BadObjectivesSnafu { path })?;
        match objectives
            .iter()
            .find(|(_, objective)| !objective.is_valid())
        {
            Some((service, _)) => Err(BurnError::InvalidObjective {
                service: service.clone(),
            }),
            None => Ok(objectives),
        }
    }
}
