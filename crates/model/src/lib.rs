//! Checked vocabulary shared by every geraniumspring program.
//!
//! A [`PresetDocument`] is what an operator wrote; [`Preset`] is the same
//! document after every check, and the only form a node will route by.
//! [`InForce`] says which preset the whole fleet follows, and [`MemberRow`]
//! describes one backend server instance and the node beside it.
//! [`ResultCode`] and [`Outcome`] are what callers and operators are told.
//!
//! Types here hold their invariants in private fields and are built through
//! `TryFrom`, so code that receives one need not check it again. Nothing in
//! this crate does I/O or reads a clock.

mod content_digest;
mod crash_row;
mod document_error;
mod fleet_policy;
mod in_force;
mod incarnation;
mod member_row;
mod member_state;
mod names;
mod operation_id;
mod outcome;
mod preset;
mod preset_delta;
mod preset_document;
mod preset_version;
mod request_class;
mod result_code;
mod route_rule;
mod service_objective;
mod service_policy;

pub mod headers;
pub mod platform_keys;

pub use content_digest::ContentDigest;
pub use crash_row::CrashRow;
pub use document_error::DocumentError;
pub use fleet_policy::FleetPolicy;
pub use in_force::InForce;
pub use incarnation::Incarnation;
pub use member_row::MemberRow;
pub use member_state::MemberState;
pub use names::{
    DataCentre, InstanceName, NameError, PresetName, RegionName, RouteName, ServiceName,
};
pub use operation_id::OperationId;
pub use outcome::Outcome;
pub use preset::Preset;
pub use preset_delta::{DeltaError, PresetDelta};
pub use preset_document::{DOCUMENT_BYTES_MAX, PresetDocument};
pub use preset_version::PresetVersion;
pub use request_class::RequestClass;
pub use result_code::ResultCode;
pub use route_rule::{RouteDocument, RouteRule};
pub use service_objective::ServiceObjective;
pub use service_policy::{ServiceDocument, ServicePolicy};
