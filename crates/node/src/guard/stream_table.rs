//! Long bodies on their way from the backend server to another node.
//!
//! A worker reads the body and puts parts into a small buffer; the asker takes
//! them one by one. When the buffer is full the worker waits, so a slow caller
//! slows the backend server's socket and costs a fixed amount of memory.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use super::ReplySink;
use crate::wire::{BodyPart, PeerAnswer};

/// Parts that wait for the asker: one to send while the next is read.
const PARTS_MAX: usize = 3;

/// A part, and whether the body ends with it.
#[derive(Debug)]
pub enum StreamPart {
    /// More follows.
    More(Vec<u8>),
    /// The body is whole with these bytes.
    Last(Vec<u8>),
    /// The backend server broke off.
    Broken,
}

#[derive(Debug)]
struct StreamState {
    parts: VecDeque<StreamPart>,
    touched: Instant,
    /// An asker that came before the next part.
    parked: Option<ReplySink>,
    taken: u64,
    abandoned: bool,
}

#[derive(Debug)]
struct StreamSlot {
    state: Mutex<StreamState>,
    room: Condvar,
}

/// Streams under way, by number.
#[derive(Debug, Default)]
pub struct StreamTable {
    slots: Mutex<HashMap<u64, Arc<StreamSlot>>>,
}

impl StreamTable {
    /// Opens a stream whose first `taken` bytes went with the answer's head.
    pub fn open(&self, stream: u64, taken: u64) {
        let state = StreamState {
            parts: VecDeque::new(),
            touched: Instant::now(),
            parked: None,
            taken,
            abandoned: false,
        };
        let slot = StreamSlot {
            state: Mutex::new(state),
            room: Condvar::new(),
        };
        lock(&self.slots).insert(stream, Arc::new(slot));
    }

    /// Adds a part; waits while the buffer is full.
    ///
    /// Returns `false` when nobody takes the body any more: the asker didn't
    /// come for `stall_timeout`, or left. Without this limit a caller that
    /// stops reading would hold a slot of the backend server for good.
    pub fn put(&self, stream: u64, part: StreamPart, stall_timeout: Duration) -> bool {
        let Some(slot) = self.slot(stream) else {
            return false;
        };
        let give_up = Instant::now() + stall_timeout;
        let mut state = lock(&slot.state);
        while state.parts.len() >= PARTS_MAX && !state.abandoned {
            let left = give_up.saturating_duration_since(Instant::now());
            if left.is_zero() {
                state.abandoned = true;
                break;
            }
            state = slot
                .room
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        if state.abandoned {
            drop(state);
            self.forget(stream);
            return false;
        }
        state.parts.push_back(part);
        let ready = state
            .parked
            .take()
            .and_then(|sink| Some((sink, state.next_part(stream)?)));
        drop(state);
        if let Some((sink, part)) = ready {
            self.deliver(stream, sink, part);
        }
        true
    }

    /// Answers with the next part, now or when it is there.
    pub fn take(&self, stream: u64, offset: u64, sink: ReplySink) {
        let Some(slot) = self.slot(stream) else {
            sink.reply(PeerAnswer::Part(BodyPart::Broken));
            return;
        };
        let mut state = lock(&slot.state);
        state.touched = Instant::now();
        // An asker that counts other bytes than were sent lost a part or got
        // one twice; a body put together from it would be wrong.
        if state.taken != offset || state.parked.is_some() {
            state.abandoned = true;
            drop(state);
            slot.room.notify_all();
            sink.reply(PeerAnswer::Part(BodyPart::Broken));
            return;
        }
        let next = state.next_part(stream);
        if next.is_none() {
            state.parked = Some(sink);
            return;
        }
        drop(state);
        slot.room.notify_all();
        if let Some(part) = next {
            self.deliver(stream, sink, part);
        }
    }

    /// Ends a stream whose asker left.
    pub fn abandon(&self, stream: u64) {
        if let Some(slot) = self.slot(stream) {
            lock(&slot.state).abandoned = true;
            slot.room.notify_all();
        }
    }

    /// Forgets streams whose asker didn't come for `stall_timeout`.
    ///
    /// A worker that has put its last part doesn't wait, so without this a
    /// vanished asker would leave the buffered parts behind.
    pub fn sweep(&self, stall_timeout: Duration) {
        let slots: Vec<(u64, Arc<StreamSlot>)> = lock(&self.slots)
            .iter()
            .map(|(key, slot)| (*key, Arc::clone(slot)))
            .collect();
        for (stream, slot) in slots {
            let mut state = lock(&slot.state);
            let waits_for_worker = state.parked.is_some();
            if !waits_for_worker && state.touched.elapsed() > stall_timeout {
                state.abandoned = true;
                drop(state);
                slot.room.notify_all();
                self.forget(stream);
            }
        }
    }

    /// Returns the number of streams under way.
    pub fn len(&self) -> usize {
        lock(&self.slots).len()
    }

    /// Reports whether no stream is under way.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn deliver(&self, stream: u64, sink: ReplySink, part: BodyPart) {
        if !matches!(part, BodyPart::More { .. }) {
            self.forget(stream);
        }
        sink.reply(PeerAnswer::Part(part));
    }

    fn forget(&self, stream: u64) {
        lock(&self.slots).remove(&stream);
    }

    fn slot(&self, stream: u64) -> Option<Arc<StreamSlot>> {
        lock(&self.slots).get(&stream).map(Arc::clone)
    }
}

impl StreamState {
    fn next_part(&mut self, stream: u64) -> Option<BodyPart> {
        let part = match self.parts.pop_front()? {
            StreamPart::More(bytes) => BodyPart::More { stream, bytes },
            StreamPart::Last(bytes) => BodyPart::Last(bytes),
            StreamPart::Broken => BodyPart::Broken,
        };
        if let BodyPart::More { bytes, .. } | BodyPart::Last(bytes) = &part {
            self.taken += bytes.len() as u64;
        }
        Some(part)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
