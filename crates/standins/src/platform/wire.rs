//! Messages of the gateway, from the server's side.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Deserializer, Serialize, de::Error};
use serde_json::{Value, json};

use super::{key_history::KeyEvent, store_state::KeyedEvent};

fn raw<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD.decode(text).map_err(D::Error::custom)
}

/// Takes a 64-bit number as a string or, as the gateway does too, as a number.
fn int64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    match Value::deserialize(deserializer)? {
        Value::String(text) => text.parse().map_err(D::Error::custom),
        other => other
            .as_i64()
            .ok_or_else(|| D::Error::custom("not a 64-bit number")),
    }
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub struct RangeRequest {
    #[serde(deserialize_with = "raw")]
    pub key: Vec<u8>,
    #[serde(deserialize_with = "raw")]
    pub range_end: Vec<u8>,
}

#[derive(Debug, Deserialize, Clone, Copy, PartialEq, Eq, Default)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    #[default]
    Version,
    Create,
    Mod,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub struct Compare {
    #[serde(deserialize_with = "raw")]
    pub key: Vec<u8>,
    pub target: CompareTarget,
    /// Only `EQUAL` is served, which is also the default.
    pub result: Option<String>,
    #[serde(deserialize_with = "int64")]
    pub version: i64,
    #[serde(deserialize_with = "int64")]
    pub create_revision: i64,
    #[serde(deserialize_with = "int64")]
    pub mod_revision: i64,
}

impl Compare {
    pub fn holds_for(&self, live: Option<&KeyEvent>) -> bool {
        let (found, wanted) = match self.target {
            CompareTarget::Version => (live.map(|event| event.version), self.version),
            CompareTarget::Create => (
                live.map(|event| event.create_revision),
                self.create_revision,
            ),
            CompareTarget::Mod => (live.map(|event| event.revision), self.mod_revision),
        };
        found.unwrap_or(0) == wanted
    }
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub struct PutRequest {
    #[serde(deserialize_with = "raw")]
    pub key: Vec<u8>,
    #[serde(deserialize_with = "raw")]
    pub value: Vec<u8>,
    #[serde(deserialize_with = "int64")]
    pub lease: i64,
}

#[derive(Debug, Deserialize)]
pub enum RequestOp {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_delete_range")]
    DeleteRange(RangeRequest),
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub struct TxnRequest {
    pub compare: Vec<Compare>,
    pub success: Vec<RequestOp>,
    pub failure: Vec<RequestOp>,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub struct LeaseRequest {
    #[serde(rename = "ID", deserialize_with = "int64")]
    pub id: i64,
    #[serde(rename = "TTL", deserialize_with = "int64")]
    pub ttl: i64,
}

#[derive(Debug, Deserialize, Default)]
#[serde(default)]
pub struct WatchCreate {
    #[serde(deserialize_with = "raw")]
    pub key: Vec<u8>,
    #[serde(deserialize_with = "int64")]
    pub start_revision: i64,
}

#[derive(Debug, Deserialize)]
pub struct WatchRequest {
    pub create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
pub struct Failure<'a> {
    pub code: u16,
    pub message: &'a str,
}

pub fn header(revision: i64) -> Value {
    json!({ "cluster_id": "1", "member_id": "1", "revision": revision.to_string() })
}

pub fn key_value(key: &[u8], event: &KeyEvent) -> Value {
    let mut pair = json!({
        "key": STANDARD.encode(key),
        "mod_revision": event.revision.to_string(),
    });
    if let Some(value) = &event.value {
        pair["create_revision"] = event.create_revision.to_string().into();
        pair["version"] = event.version.to_string().into();
        pair["value"] = STANDARD.encode(value).into();
    }
    if event.lease != 0 {
        pair["lease"] = event.lease.to_string().into();
    }
    pair
}

/// Leaves out what is zero or empty, as the gateway does.
pub fn range_response(revision: i64, found: &[KeyedEvent]) -> Value {
    let mut response = json!({ "header": header(revision) });
    if !found.is_empty() {
        let pairs = found.iter().map(|(key, event)| key_value(key, event));
        response["kvs"] = pairs.collect();
        response["count"] = found.len().to_string().into();
    }
    response
}

pub fn watch_event(key: &[u8], event: &KeyEvent) -> Value {
    let mut line = json!({ "kv": key_value(key, event) });
    if event.value.is_none() {
        line["type"] = "DELETE".into();
    }
    line
}
