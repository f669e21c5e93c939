//! Configuration documents before they are checked.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::{ConfigVersion, RequestKind};
use crate::accounts::AccountInput;

/// Configuration document before it is checked.
///
/// Nodes also send configurations to each other in this form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigInput {
    /// Version of the document.
    pub version: ConfigVersion,
    /// Routes, each with a unique pair of host and prefix.
    pub routes: Vec<Rc<RouteInput>>,
    /// Services that the routes may name.
    pub services: Vec<ServiceInput>,
    /// Limits on callers' requests.
    pub limits: LimitsInput,
    /// Client accounts; without any, requests carry no key.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub accounts: Vec<AccountInput>,
}

/// Route before it is checked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteInput {
    /// Name of the route.
    pub name: String,
    /// Host that requests of the route name, in any case.
    pub host: String,
    /// Prefix of the path; it begins and ends with a slash.
    pub prefix: String,
    /// Kind of the requests, which says whether they may run more than once.
    pub kind: RequestKind,
    /// Seconds after which the caller gets a final response.
    pub timeout_s: f64,
    /// Target latency in seconds; a later response counts as slow.
    pub target_s: f64,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// Largest number of backend servers that one attempt of a caller may reach.
    pub attempts: u32,
    /// Services that requests are sent to, with their weights.
    pub shares: Vec<ShareInput>,
    /// Whether requests need no key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub anonymous: bool,
}

/// A service that a route sends requests to, and its weight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareInput {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the route's other services; 0 sends no requests.
    pub weight: u32,
}

/// Service before it is checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceInput {
    /// Name of the service.
    pub name: String,
    /// Path of the health check of its backend servers.
    pub health_path: String,
    /// Number of connections that each of its backend servers accepts.
    pub connections: u32,
}

/// Limits on callers' requests, before they are checked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitsInput {
    /// Largest size of a request's head in bytes.
    pub head_bytes: u64,
    /// Largest size of a request's body in bytes.
    pub body_bytes: u64,
    /// Longest time in seconds for receiving a request's head.
    pub head_s: f64,
    /// Longest time in seconds for which a connection may stay idle.
    pub idle_s: f64,
}
