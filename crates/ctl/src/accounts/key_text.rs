//! Keys as operators enter them.

use std::str::FromStr;

use snafu::Snafu;

/// Key of an account as an operator enters it.
///
/// `Debug` doesn't show it.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyText(String);

/// Failure to parse a [`KeyText`]; it doesn't show the text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("a key has printable ASCII characters without spaces, one at least"))]
pub struct KeyTextError;

impl KeyText {
    /// Returns the key, which must not be shown.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for KeyText {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyText(..)")
    }
}

impl FromStr for KeyText {
    type Err = KeyTextError;

    /// Checks a key; one with other characters couldn't be sent in `Authorization`.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_ctl::KeyText;
    ///
    /// let key: KeyText = "9f-till.2".parse()?;
    /// assert_eq!(format!("{key:?}"), "KeyText(..)");
    /// assert!("two words".parse::<KeyText>().is_err());
    /// # Ok::<(), geranium_ctl::KeyTextError>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, KeyTextError> {
        let is_sendable = text.bytes().all(|byte| byte.is_ascii_graphic());
        (is_sendable && !text.is_empty())
            .then(|| Self(text.to_owned()))
            .ok_or(KeyTextError)
    }
}
