//! SHA-256 digests of stored documents and answers.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};
use sha2::{Digest, Sha256};
use snafu::{OptionExt, Whatever};

const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a document's canonical bytes.
///
/// # Examples
///
/// ```
/// use geranium_model::ContentDigest;
///
/// let digest = ContentDigest::of(b"abc");
/// assert!(digest.to_string().starts_with("ba7816bf"));
/// assert_eq!(digest.to_string().parse::<ContentDigest>().unwrap(), digest);
/// ```
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentDigest([u8; DIGEST_BYTES]);

impl ContentDigest {
    /// Digests `content`.
    pub fn of(content: impl AsRef<[u8]>) -> Self {
        Self(Sha256::digest(content.as_ref()).into())
    }

    /// Returns the raw digest.
    pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

impl FromStr for ContentDigest {
    type Err = Whatever;

    fn from_str(text: &str) -> Result<Self, Whatever> {
        let mut raw = [0; DIGEST_BYTES];
        let well_formed = text.len() == 2 * DIGEST_BYTES && text.is_ascii();
        well_formed
            .then_some(())
            .whatever_context("a digest has 64 hexadecimal digits")?;
        for (index, byte) in raw.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16)
                .ok()
                .whatever_context("a digest has 64 hexadecimal digits")?;
        }
        Ok(Self(raw))
    }
}

/// Text forms hold the hexadecimal digits, so that an operator can find the
/// content's key in the platform; binary forms hold the bytes.
impl Serialize for ContentDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for ContentDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            String::deserialize(deserializer)?
                .parse()
                .map_err(D::Error::custom)
        } else {
            <[u8; DIGEST_BYTES]>::deserialize(deserializer).map(Self)
        }
    }
}
