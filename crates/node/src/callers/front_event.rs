//! What other threads tell the callers' thread.

use std::sync::Arc;

use geranium_model::{InForce, InstanceName, MemberRow, Preset};

/// A change that routing must know of.
#[derive(Debug, Clone)]
pub enum FrontEvent {
    /// Another preset is in force.
    Preset(InForce, Arc<Preset>),
    /// A member is new or changed.
    Member(MemberRow),
    /// A member is gone for good.
    Gone(InstanceName),
    /// This node leaves: answers tell callers to go elsewhere.
    Draining,
}
