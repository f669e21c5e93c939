//! A caller's request, as it travels to the node that guards a backend server.

use geranium_model::{InstanceName, PresetVersion, RequestClass, ServiceName};
use serde::{Deserialize, Serialize};

/// One HTTP header: name and raw value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderPair {
    /// Lower-case name.
    pub name: String,
    /// Raw value.
    pub value: Vec<u8>,
}

/// A request for the backend server beside the receiving node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerRequest {
    /// Identifier from the caller, or made by the first node.
    pub request_id: String,
    /// Node that sent it.
    pub from: InstanceName,
    /// Version of the preset by which it was routed.
    pub version: PresetVersion,
    /// Service that was meant; a node beside another service refuses.
    pub service: ServiceName,
    /// Class from the route.
    pub class: RequestClass,
    /// Milliseconds until the caller stops waiting.
    pub deadline_ms: u32,
    /// Hops behind it, this one included.
    pub hops: u8,
    /// Hash of the caller's name or address.
    pub caller: u64,
    /// Hash of the key it touches, when the caller named one.
    pub key: Option<u64>,
    /// At-most-once ticket, as text.
    pub ticket: Option<String>,
    /// Hash of method, path, ticket and body.
    pub fingerprint: u64,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<HeaderPair>,
    /// Whole body.
    pub body: Vec<u8>,
}
