//! A whole configuration as one node hands it to another.

use std::io::{Read, Write};

use base64::{DecodeError, Engine, engine::general_purpose::STANDARD};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::config::ConfigInput;

/// Most bytes of a document once it is unpacked.
const DOCUMENT_MAX: u64 = 64 * 1024 * 1024;

/// A whole configuration, compressed.
///
/// After a restart of a data centre every node there asks one for thousands of routes in
/// the same second. Routes differ in a few words, so that a tenth of the bytes goes over
/// that node's link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PackedConfig {
    /// Deflated JSON in base64.
    text: String,
}

/// A packed configuration that can't be unpacked.
#[derive(Debug, Snafu)]
pub enum UnpackError {
    /// It is no base64.
    #[snafu(display("{source}"), context(false))]
    Text {
        /// What was met.
        source: DecodeError,
    },
    /// It isn't a whole compressed document, or one that is too long.
    #[snafu(display("{source}"), context(false))]
    Stream {
        /// What was met.
        source: std::io::Error,
    },
    /// The document can't be read.
    #[snafu(display("{source}"), context(false))]
    Document {
        /// What was met.
        source: serde_json::Error,
    },
}

impl PackedConfig {
    /// Packs a document.
    ///
    /// # Errors
    ///
    /// When the document can't be written as JSON.
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
    /// };
    /// let packed = PackedConfig::pack(&input)?;
    /// assert_eq!(packed.unpack()?, input);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn pack(input: &ConfigInput) -> Result<Self, std::io::Error> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&serde_json::to_vec(input)?)?;
        let text = STANDARD.encode(encoder.finish()?);
        Ok(Self { text })
    }

    /// Unpacks the document.
    ///
    /// # Errors
    ///
    /// When it isn't one that [`PackedConfig::pack`] made.
    pub fn unpack(&self) -> Result<ConfigInput, UnpackError> {
        let packed = STANDARD.decode(&self.text)?;
        let mut document = Vec::new();
        let decoder = DeflateDecoder::new(&*packed);
        decoder.take(DOCUMENT_MAX).read_to_end(&mut document)?;
        Ok(serde_json::from_slice(&document)?)
    }
}
