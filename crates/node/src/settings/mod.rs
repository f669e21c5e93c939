//! Settings of a node, from flags and environment variables.

mod node_settings;
mod raw_settings;
mod settings_error;

pub use node_settings::{LogFormat, NodeSettings};
pub use raw_settings::RawSettings;
pub use settings_error::{SettingFault, SettingsError};
