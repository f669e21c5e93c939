//! Documents in compressed form, as nodes send them to each other.

use std::{
    io::{Read, Write},
    marker::PhantomData,
};

use base64::{DecodeError, Engine, engine::general_purpose::STANDARD};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::Snafu;

use crate::{config::ConfigInput, member::MemberUpdate};

/// Largest size of an uncompressed document in bytes.
const DOCUMENT_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// A whole configuration in compressed form.
pub type PackedConfig = PackedDocument<ConfigInput>;
/// Changes of members in compressed form.
pub type PackedMembers = PackedDocument<MemberUpdate>;

/// Document in compressed form.
///
/// After a restart of a data centre, all nodes there request a configuration with thousands of
/// routes and the list of all members from one node in the same second. Routes and announcements
/// differ from one another in a few words, so compression reduces the bytes on that node's link to
/// a tenth.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent, bound = "")]
pub struct PackedDocument<T> {
    /// Deflated JSON in base64.
    text: String,
    #[serde(skip)]
    kind: PhantomData<T>,
}

/// Reason why a compressed document can't be read.
#[derive(Debug, Snafu)]
pub enum UnpackError {
    /// The text isn't valid base64.
    #[snafu(display("{source}"), context(false))]
    Text {
        /// Error of the base64 decoder.
        source: DecodeError,
    },
    /// The compressed data is invalid or truncated.
    #[snafu(display("{source}"), context(false))]
    Stream {
        /// Error of the decompressor.
        source: std::io::Error,
    },
    /// The document isn't JSON of the expected kind, or is longer than the limit.
    #[snafu(display("{source}"), context(false))]
    Document {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

impl<T: Serialize + DeserializeOwned> PackedDocument<T> {
    /// Compresses a document.
    ///
    /// # Errors
    ///
    /// Returns an error if the document can't be written as JSON.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::config::{ConfigInput, ConfigVersion, LimitsInput};
    /// use geranium_node::distribution::PackedConfig;
    ///
    /// let limits = LimitsInput { head_bytes: 1, body_bytes: 1, head_s: 1.0, idle_s: 1.0 };
    /// let input = ConfigInput {
    ///     version: ConfigVersion(3),
    ///     routes: Vec::new(),
    ///     services: Vec::new(),
    ///     limits,
    ///     accounts: Vec::new(),
    /// };
    /// let packed = PackedConfig::pack(&input)?;
    /// assert_eq!(packed.unpack()?, input);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn pack(input: &T) -> Result<Self, std::io::Error> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&serde_json::to_vec(input)?)?;
        let text = STANDARD.encode(encoder.finish()?);
        Ok(Self {
            text,
            kind: PhantomData,
        })
    }

    /// Decompresses the document.
    ///
    /// # Errors
    ///
    /// Returns an error if the text wasn't made by [`PackedDocument::pack`].
    pub fn unpack(&self) -> Result<T, UnpackError> {
        let packed = STANDARD.decode(&self.text)?;
        let mut document = Vec::new();
        let decoder = DeflateDecoder::new(&*packed);
        decoder
            .take(DOCUMENT_MAX_BYTES)
            .read_to_end(&mut document)?;
        Ok(serde_json::from_slice(&document)?)
    }
}
