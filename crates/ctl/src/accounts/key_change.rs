//! Changes of an account's keys.

use std::fmt;

use geranium_node::accounts::{KeyDigest, KeyProof};
use snafu::Snafu;

use super::KeyText;

/// Change of an account's keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyChange {
    /// Adds a key; the others stay valid.
    Add {
        /// Name of the account.
        account: String,
        /// New key.
        key: KeyText,
    },
    /// Removes a key.
    Revoke {
        /// Name of the account.
        account: String,
        /// Digest of the key.
        digest: KeyDigest,
    },
}

/// Why a stored configuration can't be changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum KeyChangeError {
    /// No account has the name.
    #[snafu(display("no account has this name"))]
    NoAccount,
    /// The account doesn't have the key.
    #[snafu(display("the account has no such key"))]
    NoKey,
    /// The account has the new key already.
    #[snafu(display("the account has this key already"))]
    InUse,
    /// Several keys of the account have the fingerprint.
    #[snafu(display("several keys of the account have this fingerprint; give the key itself"))]
    Ambiguous,
    /// The configuration can't be decoded.
    #[snafu(display("the configuration is unreadable"))]
    Unreadable,
}

impl KeyChange {
    /// Returns the name of the account.
    pub fn account(&self) -> &str {
        match self {
            Self::Add { account, .. } | Self::Revoke { account, .. } => account,
        }
    }

    /// Returns the digest of the key.
    pub fn digest(&self) -> KeyDigest {
        match self {
            Self::Add { key, .. } => KeyProof::of_key(key.as_str()).digest(),
            Self::Revoke { digest, .. } => *digest,
        }
    }
}

impl fmt::Display for KeyChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fingerprint = self.digest().fingerprint();
        match self {
            Self::Add { account, .. } => write!(f, "key {fingerprint} added to account {account}"),
            Self::Revoke { account, .. } => {
                write!(f, "key {fingerprint} of account {account} revoked")
            }
        }
    }
}
