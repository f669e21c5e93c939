//! Memory of a node's request bodies.

use std::{
    cell::RefCell,
    rc::Rc,
    task::{Context, Poll},
};

use super::{BodyLedger, IntakeKey, MemoryLimits, MemoryShortage, RequestBody};
use crate::request_origin::RequestOrigin;

/// Memory of a node's request bodies; clones share it.
#[derive(Debug, Clone)]
pub struct BodyMemory(Rc<RefCell<BodyLedger>>);

impl BodyMemory {
    /// Creates the memory of a node.
    pub fn new(limits: MemoryLimits) -> Self {
        Self(Rc::new(RefCell::new(BodyLedger::new(limits))))
    }

    /// Returns the memory of all bodies in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.0.borrow().used_bytes()
    }

    /// Sets the largest size of a body in bytes.
    pub fn set_largest_body(&self, bytes: u64) {
        self.0.borrow_mut().set_largest_body(bytes);
    }

    /// Begins a body from `origin` that announces at least `announced` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for it.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::{
    ///     request_body::{BodyMemory, MemoryLimits},
    ///     request_origin::RequestOrigin,
    /// };
    ///
    /// let memory = BodyMemory::new(MemoryLimits::new(200_000));
    /// let mut arriving = memory.begin(RequestOrigin::Caller, 4)?;
    /// arriving.append(b"fish")?;
    /// let body = arriving.finish()?;
    /// assert_eq!(memory.used_bytes(), 512);
    /// drop(body);
    /// assert_eq!(memory.used_bytes(), 0);
    /// # Ok::<(), geranium_node::request_body::MemoryShortage>(())
    /// ```
    pub fn begin(
        &self,
        origin: RequestOrigin,
        announced: u64,
    ) -> Result<ArrivingBody, MemoryShortage> {
        let key = self.0.borrow_mut().begin(origin, announced)?;
        Ok(ArrivingBody {
            memory: self.clone(),
            key,
        })
    }

    /// Takes the memory away from the caller's body that has stood still for the longest time.
    ///
    /// Returns whether there is one.
    pub fn evict_longest_stalled(&self) -> bool {
        self.0.borrow_mut().evict_longest_stalled()
    }
}

/// Body that is arriving. Its memory is freed when it is dropped.
#[derive(Debug)]
pub struct ArrivingBody {
    memory: BodyMemory,
    key: IntakeKey,
}

impl ArrivingBody {
    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory for them, or the body's memory was taken away.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), MemoryShortage> {
        self.memory.0.borrow_mut().append(self.key, bytes)
    }

    /// Is ready when the body's memory was taken away for another body.
    pub fn poll_evicted(&mut self, cx: &Context<'_>) -> Poll<()> {
        let mut ledger = self.memory.0.borrow_mut();
        if ledger.poll_evicted(self.key, cx.waker()) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }

    /// Returns the complete body, which keeps its memory until its last clone is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the body's memory was taken away.
    pub fn finish(self) -> Result<RequestBody, MemoryShortage> {
        let segments = self.memory.0.borrow_mut().finish(self.key)?;
        let lease = MemoryLease {
            memory: self.memory.clone(),
            bytes: segments.capacity() as u64,
        };
        Ok(RequestBody::with_lease(segments, lease))
    }
}

impl Drop for ArrivingBody {
    fn drop(&mut self) {
        self.memory.0.borrow_mut().remove(self.key);
    }
}

/// Memory of a complete body, freed when this is dropped.
#[derive(Debug)]
pub(super) struct MemoryLease {
    memory: BodyMemory,
    bytes: u64,
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        self.memory.0.borrow_mut().release(self.bytes);
    }
}
