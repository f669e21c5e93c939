//! The schedule of the link, shared by the answers under way.

use std::{
    cell::{RefCell, RefMut},
    collections::HashMap,
    task::Waker,
    time::Duration,
};

use super::{LinkSchedule, LoadKey};

/// The schedule of the link, and who waits for a turn.
#[derive(Debug)]
pub struct LinkLine {
    schedule: RefCell<LinkSchedule>,
    wakers: RefCell<HashMap<LoadKey, Waker>>,
}

impl LinkLine {
    /// Makes the line of an idle link.
    pub fn new(link_mbps: f64) -> Self {
        Self {
            schedule: RefCell::new(LinkSchedule::new(link_mbps)),
            wakers: RefCell::default(),
        }
    }

    /// Returns the schedule.
    pub fn schedule(&self) -> RefMut<'_, LinkSchedule> {
        self.schedule.borrow_mut()
    }

    /// Notes bytes that were handed over at once.
    pub fn sent(&self, now: Duration, bytes: u64) {
        self.schedule().sent(now, bytes);
    }

    /// Keeps whom to wake for a turn.
    pub(super) fn wait(&self, key: LoadKey, waker: &Waker) {
        self.wakers.borrow_mut().insert(key, waker.clone());
    }

    /// Wakes who is next: whoever went before has handed on its piece or left.
    pub(super) fn wake_next(&self) {
        let next = self.schedule().next();
        let waker = next.and_then(|key| self.wakers.borrow_mut().remove(&key));
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Forgets whom to wake.
    pub(super) fn leave(&self, key: LoadKey) {
        self.wakers.borrow_mut().remove(&key);
    }
}
