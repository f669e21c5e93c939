//! Location of the operators' configuration in the store.

use crate::config::{ConfigError, ConfigInput, ConfigVersion};

/// Key of the operators' configuration in the store, and its parsers.
#[derive(Debug, Clone, Copy)]
pub struct ConfigSource {
    /// Key that holds the configuration.
    pub key: &'static str,
    /// Parses the value of the key.
    pub parse: fn(&[u8]) -> Result<ConfigInput, ConfigError>,
    /// Parses only the version, also of a value that [`Self::parse`] refuses; none if the version
    /// is unreadable.
    pub parse_version: fn(&[u8]) -> Option<ConfigVersion>,
}
