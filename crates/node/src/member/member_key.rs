//! Keys of members.

/// Key of a member in a [`FleetView`](super::FleetView).
///
/// The generation keeps a key of a member that left from naming the one that
/// took its place in the arena.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MemberKey {
    pub(super) index: u32,
    pub(super) generation: u32,
}
