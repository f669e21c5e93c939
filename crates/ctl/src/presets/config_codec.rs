//! Encoding of configurations in the store.

use geranium_node::{
    config::{ConfigInput, ConfigVersion},
    discovery::ConfigSource,
};

use crate::{KeyChange, KeyChangeError};

/// Function that changes one key, and the version, in the value of a configuration.
pub type KeyChanger = fn(&[u8], ConfigVersion, &KeyChange) -> Result<Vec<u8>, KeyChangeError>;

/// Key of the configuration in force, with its parser and serializer.
#[derive(Debug, Clone, Copy)]
pub struct ConfigCodec {
    /// Key in the store, and the parser of its value.
    pub source: ConfigSource,
    /// Serializes a configuration to the value of the key, with the accounts of the value that it
    /// replaces. A parsed configuration holds only digests of keys, and presets have no accounts.
    pub write: fn(&ConfigInput, Option<&[u8]>) -> Vec<u8>,
    /// Returns a value with another version and one key added or removed.
    pub change_key: KeyChanger,
}
