//! Identity of a caller between nodes.

use std::{str::FromStr, time::Duration};

use http::{HeaderMap, HeaderValue};
use snafu::Snafu;

use super::{KeyProof, KeyProofError};
use crate::header_names::PEER_ACCOUNT_HEADER;

/// Value of the header by which the first node tells the second who the caller is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountHeader {
    /// Proof that the caller knows the account's key.
    pub proof: KeyProof,
    /// Time in which the request must begin to run; none for no limit.
    pub remaining: Option<Duration>,
}

/// Failure to parse an [`AccountHeader`]; it doesn't show the text, which may hold a proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("not a proof and a time"))]
pub struct AccountHeaderError;

impl AccountHeader {
    /// Reads the header of a request; none without one.
    ///
    /// # Errors
    ///
    /// Returns an error if there are several, or the value is malformed.
    pub fn read(headers: &HeaderMap) -> Result<Option<Self>, AccountHeaderError> {
        let mut values = headers.get_all(PEER_ACCOUNT_HEADER).iter();
        let Some(value) = values.next() else {
            return Ok(None);
        };
        if values.next().is_some() {
            return Err(AccountHeaderError);
        }
        let text = value.to_str().or(Err(AccountHeaderError))?;
        text.parse().map(Some)
    }

    /// Returns the header's value, which `Debug` doesn't show.
    ///
    /// # Panics
    ///
    /// Never panics: digits and a comma can stand in a header.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use geranium_node::accounts::{AccountHeader, KeyProof};
    ///
    /// let header = AccountHeader {
    ///     proof: KeyProof::of_key("a-key"),
    ///     remaining: Some(Duration::from_millis(1_200)),
    /// };
    /// let value = header.value();
    /// assert_eq!(format!("{value:?}"), "Sensitive");
    /// assert_eq!(value.to_str()?.parse(), Ok(header));
    /// # Ok::<(), http::header::ToStrError>(())
    /// ```
    pub fn value(&self) -> HeaderValue {
        let remaining = self.remaining.map(|time| time.as_millis().to_string());
        let text = format!("{},{}", self.proof.to_hex(), remaining.unwrap_or_default());
        let mut value = HeaderValue::try_from(text).expect("digits and a comma");
        value.set_sensitive(true);
        value
    }
}

impl FromStr for AccountHeader {
    type Err = AccountHeaderError;

    fn from_str(text: &str) -> Result<Self, AccountHeaderError> {
        let (proof, remaining) = text.split_once(',').ok_or(AccountHeaderError)?;
        let proof: Result<KeyProof, KeyProofError> = proof.parse();
        let proof = proof.or(Err(AccountHeaderError))?;
        let remaining = match remaining {
            "" => None,
            digits if digits.bytes().all(|byte| byte.is_ascii_digit()) => {
                let millis = digits.parse::<u32>().or(Err(AccountHeaderError))?;
                Some(Duration::from_millis(millis.into()))
            }
            _ => return Err(AccountHeaderError),
        };
        Ok(Self { proof, remaining })
    }
}
