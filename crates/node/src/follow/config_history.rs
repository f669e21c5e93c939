//! Configurations that other nodes may still hold.

use std::{collections::VecDeque, rc::Rc};

use super::ConfigNews;
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
}

impl ConfigHistory {
    /// Takes in the version that is now in force.
    pub fn push(&mut self, input: Rc<ConfigInput>) {
        if self.versions.len() == VERSIONS_KEPT {
            self.versions.pop_front();
        }
        self.versions.push_back(input);
    }

    /// Returns what a node needs that holds `version`; nothing when that is
    /// the newest here.
    pub fn news_for(&self, version: ConfigVersion) -> Option<ConfigNews> {
        let newest = self.versions.back()?;
        if newest.version <= version {
            return None;
        }
        let known = self.versions.iter().find(|input| input.version == version);
        Some(match known {
            Some(known) => ConfigNews::Delta(ConfigDelta::between(known, newest)),
            None => ConfigNews::Whole(Rc::clone(newest)),
        })
    }
}
