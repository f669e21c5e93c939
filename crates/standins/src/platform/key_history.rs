//! The events of one key.

use std::time::Instant;

/// A write or deletion of a key.
#[derive(Debug, Clone)]
pub struct KeyEvent {
    pub at: Instant,
    pub revision: i64,
    pub create_revision: i64,
    /// Writes since the key was created.
    pub version: i64,
    /// `None` for a deletion.
    pub value: Option<Vec<u8>>,
    pub lease: i64,
}

/// Events of one key, oldest first.
#[derive(Debug, Clone, Default)]
pub struct KeyHistory(Vec<KeyEvent>);

/// Events kept of a key: reads are served from at most some minutes ago.
const EVENTS_KEPT: usize = 1_000;

impl KeyHistory {
    pub fn push(&mut self, event: KeyEvent) {
        if self.0.len() >= EVENTS_KEPT {
            self.0.drain(..EVENTS_KEPT / 2);
        }
        self.0.push(event);
    }

    /// The newest write, unless the key is deleted.
    pub fn live(&self) -> Option<&KeyEvent> {
        self.0.last().filter(|event| event.value.is_some())
    }

    /// What `live` was at `cutoff`.
    pub fn live_at(&self, cutoff: Instant) -> Option<&KeyEvent> {
        let newest = self.0.iter().rfind(|event| event.at <= cutoff);
        newest.filter(|event| event.value.is_some())
    }

    pub fn since(&self, revision: i64) -> impl Iterator<Item = &KeyEvent> {
        self.0
            .iter()
            .filter(move |event| event.revision >= revision)
    }
}
