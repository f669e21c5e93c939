//! Location of the operators' configuration in the store.

use crate::config::{ConfigError, ConfigInput};

/// Key of the operators' configuration in the store, and its parser.
#[derive(Debug, Clone, Copy)]
pub struct ConfigSource {
    /// Key that holds the configuration.
    pub key: &'static str,
    /// Parses the value of the key.
    pub parse: fn(&[u8]) -> Result<ConfigInput, ConfigError>,
}
