//! Writing a change of an account's keys as the next version of the configuration.

use std::rc::Rc;

use geranium_node::{
    accounts::{AccountInput, KeyDigest, KeyProof},
    config::{ConfigInput, MeshConfig},
    store::MetaStore,
};
use snafu::ResultExt;

use super::{KeyChange, KeyChangeError, KeyText};
use crate::{
    Activation, ConfigCodec, CtlError, RetrySchedule, WriteStamp,
    ctl_error::{BadDocumentSnafu, KeyChangeSnafu},
    presets::{ConfigInForce, put_in_force},
};

/// Key that an operator names for a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeySelector {
    /// New key to add.
    New(KeyText),
    /// Key to revoke, by its text.
    Known(KeyText),
    /// Key to revoke, by its fingerprint.
    Fingerprint(String),
}

/// Adds or revokes a key by writing the next version of the configuration.
///
/// Returns the change and the activation of the version that holds it. The configuration is
/// otherwise unchanged, and the write takes effect only if no other came between.
///
/// # Errors
///
/// Returns [`CtlError::KeyChange`] if the account or key isn't there, or a new key is in use, and
/// otherwise the errors of [`activate`](crate::activate).
pub async fn put_key_change(
    store: &impl MetaStore,
    codec: ConfigCodec,
    account: &str,
    selector: &KeySelector,
    stamp: WriteStamp,
    retry_schedule: RetrySchedule,
) -> Result<(KeyChange, Activation), CtlError> {
    let in_force = ConfigInForce::read(store, codec).await?;
    let change = selected_change(in_force.input.as_ref(), account, selector)
        .context(KeyChangeSnafu { account })?;
    let version = in_force.next_version(store).await?;
    let value = in_force.value.as_deref().unwrap_or_default();
    let changed = (codec.change_key)(value, version, &change);
    let changed = changed.context(KeyChangeSnafu { account })?;
    // The nodes would refuse the whole version for a key that two accounts have.
    let checked =
        (codec.source.parse)(&changed).and_then(|input| MeshConfig::checked(Rc::new(input), None));
    checked.context(BadDocumentSnafu {
        origin: codec.source.key,
    })?;
    let record = in_force
        .record_of_change(store, version, &change, stamp)
        .await?;
    let activation =
        put_in_force(store, codec, &in_force, record, &changed, retry_schedule).await?;
    Ok((change, activation))
}

/// Returns the change that the operator means.
fn selected_change(
    input: Option<&ConfigInput>,
    account: &str,
    selector: &KeySelector,
) -> Result<KeyChange, KeyChangeError> {
    let accounts = input.map_or(&[][..], |input| &*input.accounts);
    let known = accounts.iter().find(|known| known.name == account);
    let known = known.ok_or(KeyChangeError::NoAccount)?;
    let account = account.to_owned();
    let digest = match selector {
        KeySelector::New(key) => {
            let key = key.clone();
            if known
                .digests
                .contains(&KeyProof::of_key(key.as_str()).digest())
            {
                return Err(KeyChangeError::InUse);
            }
            return Ok(KeyChange::Add { account, key });
        }
        KeySelector::Known(key) => {
            let digest = KeyProof::of_key(key.as_str()).digest();
            let is_known = known.digests.contains(&digest);
            is_known.then_some(digest).ok_or(KeyChangeError::NoKey)?
        }
        KeySelector::Fingerprint(fingerprint) => digest_of(known, fingerprint)?,
    };
    Ok(KeyChange::Revoke { account, digest })
}

/// Returns the only key of an account with this fingerprint.
fn digest_of(account: &AccountInput, fingerprint: &str) -> Result<KeyDigest, KeyChangeError> {
    let has_fingerprint = |digest: &&KeyDigest| digest.fingerprint() == fingerprint;
    let mut digests = account.digests.iter().filter(has_fingerprint);
    let digest = digests.next().ok_or(KeyChangeError::NoKey)?;
    // Two keys of an account with one fingerprint can only be told apart by their text.
    match digests.find(|other| *other != digest) {
        Some(_) => Err(KeyChangeError::Ambiguous),
        None => Ok(*digest),
    }
}
