//! Arena keys of backend servers.

/// Key of one backend server in a [`BackendPicker`](super::BackendPicker).
///
/// A key of a removed backend server never means another one: the generation
/// of its place has moved on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BackendKey {
    pub(super) index: u32,
    pub(super) generation: u32,
}
