//! Reading and encoding of the records that this client keeps in the store.

use geranium_node::store::{MetaStore, ReadConsistency, Revision};
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;

use crate::{CtlError, ctl_error::StoreSnafu};

/// Reads the record at `key` and its revision, 0 if there is none.
pub(super) async fn read<T: DeserializeOwned>(
    store: &impl MetaStore,
    key: &str,
) -> Result<(Revision, Option<T>), CtlError> {
    let read = store
        .read(key, ReadConsistency::Linearizable)
        .await
        .context(StoreSnafu)?;
    let Some(item) = read.item else {
        return Ok((Revision(0), None));
    };
    Ok((item.revision, Some(parse(key, &item.value)?)))
}

/// Parses a record's JSON value; an error names its `key`.
pub(super) fn parse<T: DeserializeOwned>(key: &str, value: &[u8]) -> Result<T, CtlError> {
    serde_json::from_slice(value).map_err(|error| CtlError::BadRecord {
        key: key.to_owned(),
        reason: error.to_string(),
    })
}

/// Serializes a record as JSON, the form in which the store holds it.
pub(super) fn to_bytes(record: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(record).expect("plain structs always serialize")
}
