//! Coding of data path messages.

use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// First byte of every message; a node refuses other versions.
const PROTOCOL_VERSION: u8 = 1;

/// A message that can't be read.
#[derive(Debug, Snafu)]
pub enum WireError {
    /// The message has no bytes.
    #[snafu(display("the message is empty"))]
    Empty,
    /// The sender speaks another version of the protocol.
    #[snafu(display("protocol version {found} isn't {PROTOCOL_VERSION}"))]
    Version {
        /// The sender's version.
        found: u8,
    },
    /// The rest isn't a message.
    #[snafu(display("malformed message: {source}"))]
    Malformed {
        /// What the codec found.
        source: postcard::Error,
    },
}

/// Codes a message.
#[expect(clippy::missing_panics_doc, reason = "plain types always serialize")]
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_extend(message, vec![PROTOCOL_VERSION]).expect("plain types always serialize")
}

/// Reads a message.
///
/// # Errors
///
/// See [`WireError`]; the bytes come from the network and may be anything.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    let (version, rest) = bytes.split_first().context(EmptySnafu)?;
    ensure!(
        *version == PROTOCOL_VERSION,
        VersionSnafu { found: *version }
    );
    postcard::from_bytes(rest).context(MalformedSnafu)
}
