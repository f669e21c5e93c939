//! Names of presets.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// Largest length of a name in bytes, which is the limit of a DNS label.
const NAME_BYTES_MAX: usize = 63;

/// Checked name of a preset, which needs no escaping in a key of the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PresetName(String);

/// Error for a name that is empty, too long or contains disallowed characters.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "invalid preset name `{name}`: a name has 1 to {NAME_BYTES_MAX} lower-case letters, digits, `-` and `.`"
))]
pub struct PresetNameError {
    name: String,
}

impl PresetName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for PresetName {
    type Error = PresetNameError;

    fn try_from(name: String) -> Result<Self, PresetNameError> {
        let is_allowed =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-.".contains(&byte);
        let has_allowed_length = (1..=NAME_BYTES_MAX).contains(&name.len());
        ensure!(
            has_allowed_length && name.bytes().all(is_allowed),
            PresetNameSnafu { name }
        );
        Ok(Self(name))
    }
}

impl FromStr for PresetName {
    type Err = PresetNameError;

    /// Checks a name and returns it.
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
