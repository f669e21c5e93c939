//! Messages of the gateway.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Serialize};

use super::int64;
use crate::{Entry, Revision};

#[derive(Debug, Serialize, Default)]
pub struct RangeRequest {
    pub key: String,
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
}

#[derive(Debug, Deserialize)]
#[serde(default)]
#[derive(Default)]
pub struct Header {
    #[serde(with = "int64")]
    pub revision: i64,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub struct KeyValue {
    pub key: String,
    pub value: String,
    #[serde(with = "int64")]
    pub mod_revision: i64,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub struct RangeResponse {
    pub kvs: Vec<KeyValue>,
}

#[derive(Debug, Serialize)]
pub struct Compare {
    pub key: String,
    pub target: &'static str,
    pub result: &'static str,
    #[serde(with = "int64")]
    pub mod_revision: i64,
}

#[derive(Debug, Serialize)]
pub struct PutRequest {
    pub key: String,
    pub value: String,
    #[serde(with = "int64")]
    pub lease: i64,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOp {
    RequestPut(PutRequest),
    RequestRange(RangeRequest),
}

#[derive(Debug, Serialize)]
pub struct TxnRequest {
    pub compare: Vec<Compare>,
    pub success: Vec<RequestOp>,
    pub failure: Vec<RequestOp>,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub struct ResponseOp {
    pub response_range: RangeResponse,
}

#[derive(Debug, Deserialize)]
pub struct TxnResponse {
    pub header: Header,
    #[serde(default)]
    pub succeeded: bool,
    #[serde(default)]
    pub responses: Vec<ResponseOp>,
}

#[derive(Debug, Serialize)]
pub struct LeaseGrantRequest {
    #[serde(rename = "TTL", with = "int64")]
    pub ttl: i64,
}

#[derive(Debug, Serialize)]
pub struct LeaseRequest {
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub struct LeaseResponse {
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
    #[serde(rename = "TTL", with = "int64")]
    pub ttl: i64,
}

/// A line of a streamed answer.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamLine<T> {
    Result(T),
    Error(StreamError),
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub struct StreamError {
    pub message: String,
}

#[derive(Debug, Serialize)]
pub struct WatchCreate {
    pub key: String,
    #[serde(with = "int64")]
    pub start_revision: i64,
}

#[derive(Debug, Serialize)]
pub struct WatchRequest {
    pub create_request: WatchCreate,
}

#[derive(Debug, Deserialize, Default, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    #[default]
    Put,
    Delete,
}

#[derive(Debug, Deserialize)]
pub struct Event {
    #[serde(default, rename = "type")]
    pub kind: EventKind,
    #[serde(default)]
    pub kv: KeyValue,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub struct WatchResponse {
    pub created: bool,
    pub canceled: bool,
    #[serde(with = "int64")]
    pub compact_revision: i64,
    pub events: Vec<Event>,
}

/// Encodes a key or value.
pub fn encode(raw: impl AsRef<[u8]>) -> String {
    STANDARD.encode(raw)
}

/// Returns the end of the range of keys that start with `prefix`.
///
/// The project's prefixes are ASCII, so raising the last byte can't overflow.
pub fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last = last.saturating_add(1);
    }
    encode(end)
}

/// Converts to the gateway's signed numbers.
pub const fn signed(revision: Revision) -> i64 {
    revision.get().cast_signed()
}

/// Converts from the gateway's signed numbers.
pub const fn unsigned(raw: i64) -> Revision {
    Revision::new(raw.cast_unsigned())
}

impl TryFrom<KeyValue> for Entry {
    type Error = String;

    fn try_from(pair: KeyValue) -> Result<Self, String> {
        let key = STANDARD
            .decode(pair.key)
            .map_err(|error| error.to_string())?;
        let value = STANDARD
            .decode(pair.value)
            .map_err(|error| error.to_string())?;
        Ok(Self {
            key: String::from_utf8(key).map_err(|error| error.to_string())?,
            value,
            revision: unsigned(pair.mod_revision),
        })
    }
}
