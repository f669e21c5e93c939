//! Values derived from an account's key.

use std::str::FromStr;

use serde::{Deserialize, Serialize, de::Error as _};
use snafu::Snafu;

/// Domain of the first derivation, from a key to its proof.
const PROOF_CONTEXT: &str = "geraniumspring account proof v1";
/// Domain of the second derivation, from a proof to its digest.
const DIGEST_CONTEXT: &str = "geraniumspring account digest v1";
/// Number of hexadecimal digits of a fingerprint.
const FINGERPRINT_DIGITS: usize = 8;

/// Proof that the sender of a request knows an account's key.
///
/// It isn't shown by `Debug`, as whoever has it can send requests as the account.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct KeyProof([u8; 32]);

impl KeyProof {
    /// Returns the proof of a key.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::accounts::KeyProof;
    ///
    /// let proof = KeyProof::of_key("a-key");
    /// assert_eq!(proof.to_hex().parse(), Ok(proof));
    /// assert_eq!(format!("{proof:?}"), "KeyProof(..)");
    /// ```
    pub fn of_key(key: &str) -> Self {
        Self(blake3::derive_key(PROOF_CONTEXT, key.as_bytes()))
    }

    /// Returns the digest by which a configuration names the key.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(blake3::derive_key(DIGEST_CONTEXT, &self.0))
    }

    /// Returns the proof as 64 hexadecimal digits, for another node.
    pub fn to_hex(self) -> String {
        to_hex(&self.0)
    }
}

impl std::fmt::Debug for KeyProof {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyProof(..)")
    }
}

impl FromStr for KeyProof {
    type Err = KeyProofError;

    fn from_str(text: &str) -> Result<Self, KeyProofError> {
        from_hex(text).map(Self)
    }
}

/// Digest by which a configuration names a key; the key can't be derived from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the first digits of the digest, by which operators tell keys apart.
    pub fn fingerprint(&self) -> String {
        let mut text = to_hex(&self.0);
        text.truncate(FINGERPRINT_DIGITS);
        text
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&to_hex(&self.0))
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        from_hex(&text).map(Self).map_err(D::Error::custom)
    }
}

/// Failure to parse a [`KeyProof`] or [`KeyDigest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("not 64 hexadecimal digits"))]
pub struct KeyProofError;

fn to_hex(bytes: &[u8; 32]) -> String {
    blake3::Hash::from_bytes(*bytes).to_hex().to_string()
}

fn from_hex(text: &str) -> Result<[u8; 32], KeyProofError> {
    let hash = blake3::Hash::from_hex(text).ok().ok_or(KeyProofError)?;
    Ok(*hash.as_bytes())
}
