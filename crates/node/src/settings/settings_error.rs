//! What can be wrong with a node's settings.

use std::fmt;

use geranium_model::ResultCode;
use snafu::Snafu;

/// One setting that was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingFault {
    /// Numbered code of the fault.
    pub code: ResultCode,
    /// Flag of the setting.
    pub setting: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "[{}] {}: {}",
            self.code.number(),
            self.setting,
            self.reason
        )
    }
}

/// Every fault found in the settings, so that one start shows them all.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")))]
pub struct SettingsError {
    /// The faults, in the order of the settings.
    pub faults: Vec<SettingFault>,
}
