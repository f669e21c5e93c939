//! Lease of a node's announcement.

use crate::store::LeaseId;

/// Lease of the announcement in the store.
#[derive(Debug, Clone, Copy)]
pub(super) enum AnnouncementLease {
    /// Lease that this node renews.
    Own(LeaseId),
    /// Lease of a registrar.
    Registrar(LeaseId),
}

impl AnnouncementLease {
    pub(super) const fn id(self) -> LeaseId {
        match self {
            Self::Own(lease) | Self::Registrar(lease) => lease,
        }
    }

    pub(super) const fn of_registrar(self) -> Self {
        Self::Registrar(self.id())
    }
}
