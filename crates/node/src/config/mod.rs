//! Configuration documents, their checked form, and deltas between versions.
//!
//! [`ConfigInput`] is the unchecked document, in the form in which nodes send it to each
//! other. [`MeshConfig`] is the checked form. Each of its routes names only services that the
//! same document defines, so a request never gets a route without a service. A document is
//! accepted as a whole or refused as a whole. A [`ConfigDelta`] holds the changes between two
//! versions, and is sent from node to node.

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
