//! Recent configurations, from which updates for other nodes are computed.

use std::{cell::OnceCell, collections::VecDeque, rc::Rc};

use super::{ConfigUpdate, PackedConfig};
use crate::config::{ConfigDelta, ConfigInput, ConfigVersion};

/// Largest number of versions that the history keeps.
///
/// The configuration changes at most five times a second for some seconds, and other nodes
/// request updates within one or two seconds.
const VERSIONS_MAX: usize = 12;

/// Recent configurations, from which updates for other nodes are computed.
///
/// The versions share the memory of routes that are the same in several of them.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    versions: VecDeque<Rc<ConfigInput>>,
    /// The newest version, compressed once for all nodes that request it.
    packed: OnceCell<Rc<PackedConfig>>,
}

impl ConfigHistory {
    /// Adds the version that is now in force.
    ///
    /// The oldest version is dropped if there are too many.
    pub fn push(&mut self, input: Rc<ConfigInput>) {
        if self.versions.len() == VERSIONS_MAX {
            self.versions.pop_front();
        }
        self.versions.push_back(input);
        self.packed.take();
    }

    /// Returns the update for a node that holds `version`.
    ///
    /// The update is a delta if `version` is still in the history, and the whole newest
    /// configuration otherwise. A node that holds the newest version or a later one needs
    /// no update, and gets `None`.
    ///
    /// # Errors
    ///
    /// Returns an error if the newest version can't be compressed.
    pub fn update_for(
        &self,
        version: ConfigVersion,
    ) -> Result<Option<ConfigUpdate>, std::io::Error> {
        let Some(newest) = self.versions.back() else {
            return Ok(None);
        };
        if newest.version <= version {
            return Ok(None);
        }
        let held = self.versions.iter().find(|input| input.version == version);
        Ok(Some(match held {
            Some(held) => ConfigUpdate::Delta(ConfigDelta::between(held, newest)),
            None => ConfigUpdate::Whole(self.packed(newest)?),
        }))
    }

    /// Returns the compressed newest version, from the cache if it is there.
    fn packed(&self, newest: &ConfigInput) -> Result<Rc<PackedConfig>, std::io::Error> {
        if let Some(packed) = self.packed.get() {
            return Ok(Rc::clone(packed));
        }
        let packed = Rc::new(PackedConfig::pack(newest)?);
        Ok(Rc::clone(self.packed.get_or_init(|| packed)))
    }
}
