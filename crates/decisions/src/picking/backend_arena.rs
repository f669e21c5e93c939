//! Arena of backend servers.

use std::time::Duration;

use geranium_model::MemberRow;

use super::{backend_key::BackendKey, backend_slot::BackendSlot};

#[derive(Debug, Default)]
struct ArenaPlace {
    generation: u32,
    slot: Option<BackendSlot>,
}

/// Backend servers by key; places of removed ones are used again.
#[derive(Debug, Default)]
pub(super) struct BackendArena {
    places: Vec<ArenaPlace>,
    free: Vec<u32>,
}

impl BackendArena {
    pub(super) fn insert(&mut self, now: Duration, row: &MemberRow) -> BackendKey {
        let index = self.free.pop().unwrap_or_else(|| {
            self.places.push(ArenaPlace::default());
            self.places.len() as u32 - 1
        });
        self.places[index as usize].slot = Some(BackendSlot::new(now, row.clone()));
        self.key_at(index)
    }

    pub(super) fn remove(&mut self, key: BackendKey) {
        if self.get(key).is_none() {
            return;
        }
        let place = &mut self.places[key.index as usize];
        place.slot = None;
        place.generation = place.generation.wrapping_add(1);
        self.free.push(key.index);
    }

    /// Returns the slot of `key`, unless it was removed.
    pub(super) fn get(&self, key: BackendKey) -> Option<&BackendSlot> {
        let place = self.places.get(key.index as usize)?;
        let current = place.generation == key.generation;
        place.slot.as_ref().filter(|_| current)
    }

    /// Returns the slot of `key` to change, unless it was removed.
    pub(super) fn get_mut(&mut self, key: BackendKey) -> Option<&mut BackendSlot> {
        let place = self.places.get_mut(key.index as usize)?;
        let current = place.generation == key.generation;
        place.slot.as_mut().filter(|_| current)
    }

    /// Returns the slot at a place that a pool lists.
    pub(super) fn at(&self, index: u32) -> Option<&BackendSlot> {
        self.places[index as usize].slot.as_ref()
    }

    /// Returns the key of whatever is at a place.
    pub(super) fn key_at(&self, index: u32) -> BackendKey {
        let generation = self.places[index as usize].generation;
        BackendKey { index, generation }
    }
}
