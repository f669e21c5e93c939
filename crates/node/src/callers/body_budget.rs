//! Memory that callers' request bodies may take together.

use std::{cell::Cell, rc::Rc};

/// Bytes of all bodies being read or sent on: sixteen of the largest. With it a
/// node stays far under its 256 MB even when every connection sends one.
const BYTES_MAX: usize = 64 * 1_048_576;

/// Counts the bytes reserved.
///
/// Guards against callers that send many large bodies at once: each is under
/// its own limit, and all together would take the node's memory. Room is
/// reserved before the first byte is read, so a body never finds too little.
#[derive(Debug, Default)]
pub struct BodyBudget {
    taken: Rc<Cell<usize>>,
}

/// Room for one body, given back when dropped.
#[derive(Debug)]
pub struct BodyPermit {
    taken: Rc<Cell<usize>>,
    bytes: usize,
}

impl BodyBudget {
    /// Reserves room for a body of at most `bytes`.
    pub fn reserve(&self, bytes: usize) -> Option<BodyPermit> {
        let taken = self.taken.get() + bytes;
        if taken > BYTES_MAX {
            return None;
        }
        self.taken.set(taken);
        Some(BodyPermit {
            taken: Rc::clone(&self.taken),
            bytes,
        })
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        self.taken.set(self.taken.get() - self.bytes);
    }
}
