//! Keys that callers present.

use http::{HeaderMap, header};
use snafu::Snafu;

use super::KeyProof;

/// Scheme of `Authorization` with which callers present their key, in any case.
const SCHEME: &[u8] = b"bearer";

/// Key that a request presents in `Authorization`.
///
/// `Debug` doesn't show it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct BearerKey<'a>(&'a str);

/// Why a request presents no key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum BearerKeyError {
    /// There is no `Authorization`.
    #[snafu(display("no key"))]
    Missing,
    /// There is more than one `Authorization`.
    #[snafu(display("more than one key"))]
    Repeated,
    /// The scheme isn't `Bearer`, or there is no key behind it.
    #[snafu(display("another scheme than Bearer"))]
    OtherScheme,
}

impl BearerKey<'_> {
    /// Returns the proof that the caller knows the key.
    pub fn proof(self) -> KeyProof {
        KeyProof::of_key(self.0)
    }
}

impl std::fmt::Debug for BearerKey<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("BearerKey(..)")
    }
}

impl<'a> TryFrom<&'a HeaderMap> for BearerKey<'a> {
    type Error = BearerKeyError;

    /// Reads the key of a request.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::accounts::{BearerKey, BearerKeyError, KeyProof};
    /// use http::{HeaderMap, HeaderValue, header::AUTHORIZATION};
    ///
    /// let mut headers = HeaderMap::new();
    /// assert_eq!(BearerKey::try_from(&headers), Err(BearerKeyError::Missing));
    /// headers.insert(AUTHORIZATION, HeaderValue::from_static("bearer a-key"));
    /// let proof = BearerKey::try_from(&headers).map(BearerKey::proof);
    /// assert_eq!(proof, Ok(KeyProof::of_key("a-key")));
    /// headers.append(AUTHORIZATION, HeaderValue::from_static("bearer a-key"));
    /// assert_eq!(BearerKey::try_from(&headers), Err(BearerKeyError::Repeated));
    /// ```
    fn try_from(headers: &'a HeaderMap) -> Result<Self, BearerKeyError> {
        let mut values = headers.get_all(header::AUTHORIZATION).iter();
        let value = values.next().ok_or(BearerKeyError::Missing)?;
        if values.next().is_some() {
            return Err(BearerKeyError::Repeated);
        }
        let value = value.as_bytes();
        let space = value.iter().position(|byte| *byte == b' ');
        let (scheme, rest) = value.split_at(space.ok_or(BearerKeyError::OtherScheme)?);
        if !scheme.eq_ignore_ascii_case(SCHEME) {
            return Err(BearerKeyError::OtherScheme);
        }
        let key = std::str::from_utf8(rest).map(|rest| rest.trim_start_matches(' '));
        match key {
            Ok(key) if !key.is_empty() => Ok(Self(key)),
            _ => Err(BearerKeyError::OtherScheme),
        }
    }
}
