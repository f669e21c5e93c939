//! Names of presets.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// Longest name in bytes: a DNS label's limit.
const NAME_BYTES_MAX: usize = 63;

/// A checked name of a preset, which can stand in a key without escaping.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PresetName(String);

/// A name that breaks the naming rule.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "`{name}` is no name: from 1 to {NAME_BYTES_MAX} lower-case letters, digits, `-` and `.`"
))]
pub struct PresetNameError {
    name: String,
}

impl PresetName {
    /// Returns the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for PresetName {
    type Error = PresetNameError;

    fn try_from(name: String) -> Result<Self, PresetNameError> {
        let allowed =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-.".contains(&byte);
        let sized = (1..=NAME_BYTES_MAX).contains(&name.len());
        ensure!(sized && name.bytes().all(allowed), PresetNameSnafu { name });
        Ok(Self(name))
    }
}

impl FromStr for PresetName {
    type Err = PresetNameError;

    /// Checks a name.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_ctl::PresetName;
    ///
    /// assert!("ordinary-day".parse::<PresetName>().is_ok());
    /// assert!("../day".parse::<PresetName>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, PresetNameError> {
        text.to_owned().try_into()
    }
}

impl From<PresetName> for String {
    fn from(name: PresetName) -> Self {
        name.0
    }
}

impl fmt::Display for PresetName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
