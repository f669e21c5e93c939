//! The server's slots.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts running requests and admits no more than there are slots.
#[derive(Debug)]
pub(super) struct SlotGate {
    slots: usize,
    running: AtomicUsize,
}

/// A slot in use; given back when dropped.
#[derive(Debug)]
pub(super) struct SlotGuard<'a>(&'a SlotGate);

impl SlotGate {
    pub(super) fn new(slots: usize) -> Self {
        Self {
            slots,
            running: AtomicUsize::new(0),
        }
    }

    /// Takes a slot, or returns `None` when all are in use.
    pub(super) fn enter(&self) -> Option<SlotGuard<'_>> {
        let free = |running: usize| (running < self.slots).then_some(running + 1);
        let entered = self
            .running
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, free);
        entered.ok().map(|_| SlotGuard(self))
    }

    pub(super) fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    /// Returns the share of slots in use, in thousandths.
    pub(super) fn load(&self) -> u32 {
        (self.running() * 1_000 / self.slots.max(1)) as u32
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}
