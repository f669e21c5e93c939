//! JSON records under a key.

use geranium_platform::{Entry, PlatformStore};
use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;

use crate::{
    CtlError,
    ctl_error::{BadRecordSnafu, PlatformSnafu},
};

/// Parses the record in `entry`.
pub fn parse<T: DeserializeOwned>(entry: &Entry) -> Result<T, CtlError> {
    let key = &entry.key;
    serde_json::from_slice(&entry.value).context(BadRecordSnafu { key })
}

/// Writes a record as bytes.
pub fn bytes(record: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(record).expect("plain structs always serialize")
}

/// Reads the newest record under `key`, with its entry.
pub fn latest<T: DeserializeOwned>(
    store: &dyn PlatformStore,
    key: &str,
) -> Result<Option<(Entry, T)>, CtlError> {
    let entry = store.get_latest(key).context(PlatformSnafu)?;
    entry
        .map(|entry| parse(&entry).map(|record| (entry, record)))
        .transpose()
}
