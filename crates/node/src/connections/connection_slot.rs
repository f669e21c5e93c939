//! Places of a listener's connections.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use tokio::sync::Notify;

use super::{Admission, ConnectionKey, ConnectionTable};

/// Table of a listener with the means to close its connections.
#[derive(Debug)]
struct SlotTable {
    table: ConnectionTable,
    /// Wakes the tasks of open connections that are to close.
    closing: HashMap<ConnectionKey, Rc<Notify>>,
}

/// Places of a listener's connections; clones share them.
#[derive(Debug, Clone)]
pub struct ConnectionSlots(Rc<RefCell<SlotTable>>);

impl ConnectionSlots {
    /// Creates places for at most `max_open` connections.
    pub fn new(max_open: usize) -> Self {
        Self(Rc::new(RefCell::new(SlotTable {
            table: ConnectionTable::new(max_open),
            closing: HashMap::new(),
        })))
    }

    /// Returns the place of a new connection; none if it is to be closed.
    ///
    /// An idle connection closes for it if there is no other room. If all are busy, `free_busy` says
    /// whether it has had one of them end.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::connections::ConnectionSlots;
    ///
    /// let slots = ConnectionSlots::new(1);
    /// let slot = slots.admit(|| false).expect("there is room");
    /// slot.set_busy();
    /// assert!(slots.admit(|| false).is_none());
    /// drop(slot);
    /// assert!(slots.admit(|| false).is_some());
    /// ```
    pub fn admit(&self, free_busy: impl FnOnce() -> bool) -> Option<ConnectionSlot> {
        let mut slots = self.0.borrow_mut();
        let key = match slots.table.admit() {
            Admission::Accepted(key) => key,
            Admission::InPlaceOf { key, idle } => {
                if let Some(closing) = slots.closing.get(&idle) {
                    closing.notify_one();
                }
                key
            }
            Admission::Full if free_busy() => slots.table.insert(),
            Admission::Full => return None,
        };
        let closing = Rc::<Notify>::default();
        slots.closing.insert(key, Rc::clone(&closing));
        Some(ConnectionSlot {
            slots: self.clone(),
            key,
            closing,
        })
    }
}

/// Place of an open connection, which is free when this is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    slots: ConnectionSlots,
    key: ConnectionKey,
    closing: Rc<Notify>,
}

impl ConnectionSlot {
    /// Records that a request of the connection has begun.
    pub fn set_busy(&self) {
        self.slots.0.borrow_mut().table.set_busy(self.key);
    }

    /// Records that all requests of the connection are answered.
    pub fn set_idle(&self) {
        self.slots.0.borrow_mut().table.set_idle(self.key);
    }

    /// Waits until the connection is to close for a new one.
    pub async fn closed(&self) {
        self.closing.notified().await;
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut slots = self.slots.0.borrow_mut();
        slots.table.remove(self.key);
        slots.closing.remove(&self.key);
    }
}
