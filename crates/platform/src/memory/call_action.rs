//! What happens elsewhere before a call.

use std::fmt;

use super::MemoryStore;

/// Action that a test lets happen before one call.
pub struct CallAction(Box<dyn FnOnce(&MemoryStore) + Send>);

impl CallAction {
    pub fn new(action: impl FnOnce(&MemoryStore) + Send + 'static) -> Self {
        Self(Box::new(action))
    }

    pub fn run(self, store: &MemoryStore) {
        (self.0)(store);
    }
}

impl fmt::Debug for CallAction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CallAction")
    }
}
