//! Software versions of backend servers.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Longest version in bytes.
const VERSION_MAX_BYTES: usize = 128;

/// Version of a backend server's software, as the backend server reports it.
///
/// An empty version is a version like any other. A backend server that reports none has no
/// value of this type.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String")]
pub struct EndpointVersion(String);

/// Why a text isn't a version.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum VersionError {
    /// The text is too long.
    #[snafu(display("the version has {bytes} bytes"))]
    TooLong {
        /// Length of the text in bytes.
        bytes: usize,
    },
}

impl EndpointVersion {
    /// Returns the text of the version.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for EndpointVersion {
    type Error = VersionError;

    /// Checks the length of a version.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::member::EndpointVersion;
    ///
    /// let version = EndpointVersion::try_from("v2".to_owned())?;
    /// assert_eq!(version.as_str(), "v2");
    /// assert!(EndpointVersion::try_from("v".repeat(1_000)).is_err());
    /// # Ok::<(), geranium_node::member::VersionError>(())
    /// ```
    fn try_from(text: String) -> Result<Self, VersionError> {
        let bytes = text.len();
        if bytes > VERSION_MAX_BYTES {
            return Err(VersionError::TooLong { bytes });
        }
        Ok(Self(text))
    }
}

impl std::fmt::Display for EndpointVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}
