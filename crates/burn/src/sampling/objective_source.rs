//! Where objectives come from.

use std::{collections::BTreeMap, fs, path::PathBuf};

use snafu::ResultExt;

use super::ServiceObjective;
use crate::{
    BurnError,
    burn_error::{BadObjectivesSnafu, FileSnafu},
};

/// Objective of each service.
pub type Objectives = BTreeMap<String, ServiceObjective>;

/// Source of the objectives: what the users promise isn't part of the
/// configuration.
#[derive(Debug, Clone, Default)]
pub struct ObjectiveSource {
    /// JSON file with an objective for each service; without one, the usual
    /// objective holds for every service that has requests.
    pub path: Option<PathBuf>,
}

impl ObjectiveSource {
    /// Reads the objectives; `served` are the services with requests.
    ///
    /// # Errors
    ///
    /// When the file can't be read or used.
    pub fn read<'a>(
        &self,
        served: impl IntoIterator<Item = &'a str>,
    ) -> Result<Objectives, BurnError> {
        let Some(path) = &self.path else {
            let usual = |name: &str| (name.to_owned(), ServiceObjective::default());
            return Ok(served.into_iter().map(usual).collect());
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
