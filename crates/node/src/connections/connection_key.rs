//! Key of an open connection.

/// Key of an open connection in a [`ConnectionTable`](super::ConnectionTable).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ConnectionKey(pub(super) usize);
