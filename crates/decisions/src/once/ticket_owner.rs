//! The one start of one node that a ticket is bound to.

use geranium_model::{Incarnation, InstanceName};

/// Instance and start of the node that keeps a ticket's record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TicketOwner {
    /// Instance beside whose backend server the request runs.
    pub instance: InstanceName,
    /// Start of its node; a restart ends all tickets of the earlier start.
    pub started: Incarnation,
}
