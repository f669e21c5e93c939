//! Encoding of configurations in the store.

use geranium_node::{config::ConfigInput, discovery::ConfigSource};

/// Key of the configuration in force, with its parser and serializer.
#[derive(Debug, Clone, Copy)]
pub struct ConfigCodec {
    /// Key in the store, and the parser of its value.
    pub source: ConfigSource,
    /// Serializes a configuration to the value of the key.
    pub write: fn(&ConfigInput) -> Vec<u8>,
}
