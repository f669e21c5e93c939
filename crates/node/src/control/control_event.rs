//! What the control thread is told.

use geranium_model::CrashRow;
use geranium_spread::{ControlEnvelope, PlatformReport};

use crate::admin::Announcement;

/// Something that happened.
#[derive(Debug, Clone)]
pub enum ControlEvent {
    /// A message from another node.
    Message(Box<ControlEnvelope>),
    /// An answer from the platform.
    Platform(Box<PlatformReport>),
    /// The own backend server announced itself.
    Announced(Announcement),
    /// The own backend server crashed under a request.
    Crashed(CrashRow),
    /// This node leaves.
    Drain,
    /// This node is about to end.
    Leave,
    /// Time passed.
    Tick,
}
