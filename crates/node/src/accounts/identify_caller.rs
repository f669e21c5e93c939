//! Decision who sent a request to the first node.

use std::rc::Rc;

use http::HeaderMap;
use snafu::Snafu;

use super::{AccountTable, BearerKey, BearerKeyError, CallerIdentity};

/// Why a request that needs a key isn't served.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CallerIdentityError {
    /// The request presents no key.
    #[snafu(display("{source}"), context(false))]
    NoKey {
        /// What is wrong with its `Authorization`.
        source: BearerKeyError,
    },
    /// The key belongs to no account.
    #[snafu(display("the key {fingerprint} is unknown"))]
    UnknownKey {
        /// First digits of the key's digest.
        fingerprint: String,
    },
}

/// Returns who sent a request, by the key that its headers present.
///
/// The result is none if the configuration has no accounts, or if the route is anonymous and the
/// request has no known key.
///
/// # Errors
///
/// Returns an error if the route isn't anonymous and the request has no known key.
pub fn identify_caller(
    accounts: &AccountTable,
    is_anonymous: bool,
    headers: &HeaderMap,
) -> Result<Option<CallerIdentity>, CallerIdentityError> {
    if accounts.is_empty() {
        return Ok(None);
    }
    match known_caller(accounts, headers) {
        Ok(identity) => Ok(Some(identity)),
        Err(_) if is_anonymous => Ok(None),
        Err(error) => Err(error),
    }
}

fn known_caller(
    accounts: &AccountTable,
    headers: &HeaderMap,
) -> Result<CallerIdentity, CallerIdentityError> {
    let proof = BearerKey::try_from(headers)?.proof();
    let digest = proof.digest();
    let id = accounts
        .find(&digest)
        .ok_or_else(|| CallerIdentityError::UnknownKey {
            fingerprint: digest.fingerprint(),
        })?;
    Ok(CallerIdentity {
        account: Rc::clone(accounts.rule(id)),
        proof,
    })
}
