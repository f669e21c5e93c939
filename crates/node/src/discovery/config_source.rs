//! Where the operators' configuration lies.

use crate::config::{ConfigError, ConfigInput};

/// Where the operators' configuration lies in the store, and how it is read.
#[derive(Debug, Clone, Copy)]
pub struct ConfigSource {
    /// Key.
    pub key: &'static str,
    /// Reads a value.
    pub parse: fn(&[u8]) -> Result<ConfigInput, ConfigError>,
}
