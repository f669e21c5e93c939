//! Where objectives come from.

use std::{fs, net::SocketAddr, path::PathBuf};

use geranium_model::{Preset, PresetDocument, PresetVersion};
use snafu::ResultExt;

use super::{AdminClient, Objectives, objectives_of};
use crate::{
    BurnError,
    burn_error::{BadPresetSnafu, FileSnafu},
};

/// Source of the objectives.
#[derive(Debug, Clone)]
pub enum PresetSource {
    /// The preset in force, read from the first node that tells it.
    Nodes(Vec<SocketAddr>),
    /// A document in a file.
    File(PathBuf),
}

impl PresetSource {
    /// Reads the objectives and the version that they belong to.
    ///
    /// # Errors
    ///
    /// When the file can't be read or used, or no node tells its preset.
    pub fn read(&self) -> Result<(PresetVersion, Objectives), BurnError> {
        match self {
            Self::File(path) => {
                let text = fs::read(path).context(FileSnafu { path })?;
                let document =
                    PresetDocument::parse(&text).context(BadPresetSnafu { place: path })?;
                let preset = Preset::try_from(document).context(BadPresetSnafu { place: path })?;
                Ok((PresetVersion::NONE, objectives_of(&preset)))
            }
            Self::Nodes(addrs) => {
                let mut failure = BurnError::NoNode;
                for addr in addrs {
                    match AdminClient::new(*addr).preset() {
                        Ok(page) => {
                            let place = addr.to_string();
                            let preset = Preset::try_from(page.document)
                                .context(BadPresetSnafu { place })?;
                            return Ok((page.version, objectives_of(&preset)));
                        }
                        Err(error) => failure = error,
                    }
                }
                Err(failure)
            }
        }
    }
}
