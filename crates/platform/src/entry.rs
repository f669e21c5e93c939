//! Entries of the store.

use crate::Revision;

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value; the platform takes up to a megabyte.
    pub value: Vec<u8>,
    /// Revision of the write that set the value.
    pub revision: Revision,
}
