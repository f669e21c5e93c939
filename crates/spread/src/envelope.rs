//! Encoding of messages between nodes.

use std::net::SocketAddr;

use geranium_model::InstanceName;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::ControlMessage;

/// First byte of each message; a node refuses every other.
pub const PROTOCOL_VERSION: u8 = 1;

/// Largest encoded message: bulky content goes in chunks well below it, so
/// that no message holds up a link for long.
pub const MESSAGE_BYTES_MAX: usize = 64 * 1024;

/// A message and who sent it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControlEnvelope {
    /// Sender.
    pub from: InstanceName,
    /// Address at which the sender takes control messages.
    pub from_addr: SocketAddr,
    /// The message.
    pub message: ControlMessage,
}

/// Bytes that aren't a message of this protocol.
#[derive(Debug, Snafu)]
pub enum EnvelopeError {
    /// More bytes than any message has.
    #[snafu(display("{bytes} bytes; at most {MESSAGE_BYTES_MAX} are taken"))]
    TooLarge {
        /// Size in bytes.
        bytes: usize,
    },
    /// Another protocol, or an empty message.
    #[snafu(display("protocol version {found:?}, not {PROTOCOL_VERSION}"))]
    WrongProtocol {
        /// First byte, if any.
        found: Option<u8>,
    },
    /// The rest can't be read.
    #[snafu(display("malformed message: {source}"))]
    Malformed {
        /// What the codec found.
        source: postcard::Error,
    },
    /// Bytes follow the message.
    #[snafu(display("{bytes} bytes after the message"))]
    TrailingBytes {
        /// Number of bytes left over.
        bytes: usize,
    },
}

impl ControlEnvelope {
    /// Encodes the message for the wire.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_spread::{ControlEnvelope, ControlMessage};
    ///
    /// let envelope = ControlEnvelope {
    ///     from: "verdskra-1".parse()?,
    ///     from_addr: "127.0.0.1:7000".parse().unwrap(),
    ///     message: ControlMessage::RowsWanted(vec![7]),
    /// };
    /// let read = ControlEnvelope::decode(&envelope.encode()).unwrap();
    /// assert_eq!(read, envelope);
    /// # Ok::<(), geranium_model::NameError>(())
    /// ```
    #[expect(clippy::missing_panics_doc, reason = "plain types always serialize")]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_extend(self, vec![PROTOCOL_VERSION]).expect("plain types always serialize")
    }

    /// Decodes a message from the wire.
    ///
    /// # Errors
    ///
    /// See [`EnvelopeError`]: bytes from the network may be anything.
    pub fn decode(bytes: &[u8]) -> Result<Self, EnvelopeError> {
        ensure!(
            bytes.len() <= MESSAGE_BYTES_MAX,
            TooLargeSnafu { bytes: bytes.len() }
        );
        let found = bytes.first().copied();
        ensure!(
            found == Some(PROTOCOL_VERSION),
            WrongProtocolSnafu { found }
        );
        let (envelope, rest) = postcard::take_from_bytes(&bytes[1..]).context(MalformedSnafu)?;
        ensure!(rest.is_empty(), TrailingBytesSnafu { bytes: rest.len() });
        Ok(envelope)
    }
}
