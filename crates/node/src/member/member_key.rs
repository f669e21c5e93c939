//! Keys of members.

/// Key of a member in a [`FleetView`](super::FleetView).
///
/// A member's slot in the arena may be reused after it is dropped. The generation makes
/// older keys of the slot invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MemberKey {
    pub(super) index: u32,
    pub(super) generation: u32,
}
