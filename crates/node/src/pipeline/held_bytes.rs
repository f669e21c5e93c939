//! Bytes of responses that wait for earlier responses.

use std::{cell::Cell, rc::Rc};

/// Bytes of responses that a connection holds behind its front response, without the
/// frame of a body that goes beyond it. With
/// [`READ_AHEAD_MAX_BYTES`](super::READ_AHEAD_MAX_BYTES), a connection has at most 256 KiB.
pub const HELD_MAX_BYTES: usize = 192 * 1024;

/// Count of the bytes of responses that a connection holds behind its front response.
///
/// Lanes stop reading their responses while the count is at its maximum. Without it, a caller
/// that doesn't read could have the node hold 16 responses of any length.
///
/// # Examples
///
/// ```
/// use geranium_node::pipeline::{HELD_MAX_BYTES, HeldBytes};
///
/// let held = HeldBytes::default();
/// held.add(HELD_MAX_BYTES);
/// assert!(held.is_full());
/// held.remove(1);
/// assert!(!held.is_full());
/// ```
#[derive(Debug, Clone, Default)]
pub struct HeldBytes(Rc<Cell<usize>>);

impl HeldBytes {
    /// Counts bytes that are held from now on.
    pub fn add(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_add(bytes));
    }

    /// Counts bytes that are no longer held.
    pub fn remove(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_sub(bytes));
    }

    /// Returns whether no lane may read more of its response.
    pub fn is_full(&self) -> bool {
        self.0.get() >= HELD_MAX_BYTES
    }
}
