//! Key of a body that is arriving.

/// Key of a body that is arriving, in a [`BodyLedger`](super::BodyLedger).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct IntakeKey(pub(super) usize);
