//! Recent presets, kept to make deltas from.

use std::{collections::VecDeque, sync::Arc};

use geranium_model::{ContentDigest, Preset};

use crate::control_message::content_tag;

/// Presets kept: a peer that is further behind than four activations fetches
/// the whole document. Four of 100 kB are well within a node's memory.
const KEPT: usize = 4;

/// Recent presets, newest first.
#[derive(Debug, Default)]
pub struct PresetShelf {
    presets: VecDeque<Arc<Preset>>,
    /// Canonical bytes last asked for: chunks are cut from them.
    served: Option<(ContentDigest, Arc<[u8]>)>,
}

impl PresetShelf {
    /// Puts a preset in front.
    pub fn put(&mut self, preset: &Arc<Preset>) {
        let digest = preset.digest();
        self.presets.retain(|held| held.digest() != digest);
        self.presets.push_front(Arc::clone(preset));
        self.presets.truncate(KEPT);
    }

    /// Returns the preset with `digest`.
    pub fn get(&self, digest: ContentDigest) -> Option<&Arc<Preset>> {
        self.presets.iter().find(|held| held.digest() == digest)
    }

    /// Returns the preset whose digest starts with `tag`.
    pub fn by_tag(&self, tag: u64) -> Option<&Arc<Preset>> {
        let mut presets = self.presets.iter();
        presets.find(|held| content_tag(held.digest()) == tag)
    }

    /// Returns the canonical bytes of a held preset.
    pub fn bytes(&mut self, digest: ContentDigest) -> Option<Arc<[u8]>> {
        if let Some((held, bytes)) = &self.served
            && *held == digest
        {
            return Some(Arc::clone(bytes));
        }
        let preset = self.get(digest)?;
        let bytes: Arc<[u8]> = preset.document().canonical_bytes().into();
        self.served = Some((digest, Arc::clone(&bytes)));
        Some(bytes)
    }
}
