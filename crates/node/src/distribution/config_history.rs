//! Configurations that other nodes may still hold.

use std::{cell::OnceCell, collections::VecDeque, rc::Rc};

use super::{ConfigUpdate, PackedConfig};
use crate::config::{ConfigDelta, ConfigInput, ConfigVersion};

/// Versions kept. Changes come five a second at most for some seconds, and
/// nodes ask within a second or two.
const VERSIONS_KEPT: usize = 12;

/// Configurations that other nodes may still hold.
///
/// Versions share the routes that they have in common.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    versions: VecDeque<Rc<ConfigInput>>,
    /// The newest version, packed once for all nodes that ask.
    packed: OnceCell<Rc<PackedConfig>>,
}

impl ConfigHistory {
    /// Takes in the version that is now in force.
    pub fn push(&mut self, input: Rc<ConfigInput>) {
        if self.versions.len() == VERSIONS_KEPT {
            self.versions.pop_front();
        }
        self.versions.push_back(input);
        self.packed.take();
    }

    /// Returns what a node needs that holds `version`; nothing when that is
    /// the newest here.
    ///
    /// # Errors
    ///
    /// When the newest version can't be packed.
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
        let known = self.versions.iter().find(|input| input.version == version);
        Ok(Some(match known {
            Some(known) => ConfigUpdate::Delta(ConfigDelta::between(known, newest)),
            None => ConfigUpdate::Whole(self.packed(newest)?),
        }))
    }

    fn packed(&self, newest: &ConfigInput) -> Result<Rc<PackedConfig>, std::io::Error> {
        if let Some(packed) = self.packed.get() {
            return Ok(Rc::clone(packed));
        }
        let packed = Rc::new(PackedConfig::pack(newest)?);
        Ok(Rc::clone(self.packed.get_or_init(|| packed)))
    }
}
