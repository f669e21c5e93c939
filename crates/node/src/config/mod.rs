//! The configuration in force: checked routes and services.
//!
//! [`ConfigInput`] is the raw document, in the shape in which nodes hand it to
//! one another. [`MeshConfig`] is the checked form: every route points at
//! services that the same document names, so a request never meets a route
//! without a target. A document is taken whole or not at all. A
//! [`ConfigDelta`] carries a change from node to node.

mod config_delta;
mod config_error;
mod config_input;
mod config_version;
mod mesh_config;
mod request_kind;
mod route_rule;
mod weighted_round_robin;

pub use config_delta::ConfigDelta;
pub use config_error::ConfigError;
pub use config_input::{ConfigInput, LimitsInput, RouteInput, ServiceInput, ShareInput};
pub use config_version::ConfigVersion;
pub use mesh_config::{CallerLimits, MeshConfig};
pub use request_kind::RequestKind;
pub use route_rule::RouteRule;
pub use weighted_round_robin::WeightedRoundRobin;
