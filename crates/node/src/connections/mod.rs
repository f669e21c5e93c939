//! Bound on the open connections of callers.
//!
//! The [`ConnectionTable`] decides whether a new connection is accepted and which idle one closes for
//! it. A [`ConnectionSlot`] is the place of an open connection in the table.

mod connection_key;
mod connection_slot;
mod connection_table;

pub use connection_key::ConnectionKey;
pub use connection_slot::{ConnectionSlot, ConnectionSlots};
pub use connection_table::{Admission, ConnectionTable};
