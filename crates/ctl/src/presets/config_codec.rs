//! How configurations are written in the store.

use geranium_node::{config::ConfigInput, discovery::ConfigSource};

/// Where the configuration in force lies in the store, and how it is written
/// and read.
#[derive(Debug, Clone, Copy)]
pub struct ConfigCodec {
    /// Key, and how it is read.
    pub source: ConfigSource,
    /// Writes a document.
    pub write: fn(&ConfigInput) -> Vec<u8>,
}
