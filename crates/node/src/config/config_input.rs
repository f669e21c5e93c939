//! Raw configuration documents.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::{ConfigVersion, RequestKind};

/// Configuration document before it is checked.
///
/// This is also the form in which one node hands a configuration to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigInput {
    /// Version.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<Rc<RouteInput>>,
    /// Services.
    pub services: Vec<ServiceInput>,
    /// Limits on what callers send.
    pub limits: LimitsInput,
}

/// Route before it is checked. Times are seconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteInput {
    /// Name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Start of the path, between slashes.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Seconds after which the caller gets a final answer.
    pub timeout_s: f64,
    /// Seconds within which an answer is of full use.
    pub target_s: f64,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Most backend servers that one request may be sent to.
    pub attempts: u32,
    /// Services that answer, with their weights.
    pub shares: Vec<ShareInput>,
}

/// One target of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareInput {
    /// Service.
    pub service: String,
    /// Weight among the route's targets.
    pub weight: u32,
}

/// Service before it is checked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceInput {
    /// Name.
    pub name: String,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that each of its backend servers accepts.
    pub connections: u32,
}

/// Limits on what callers send. Times are seconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitsInput {
    /// Most bytes of a request's head.
    pub head_bytes: u64,
    /// Most bytes of a request's body.
    pub body_bytes: u64,
    /// Longest time that a head may take.
    pub head_s: f64,
    /// Longest time that a connection may stay idle.
    pub idle_s: f64,
}
