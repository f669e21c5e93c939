//! Bodies of requests: how they are read, held and sent on.
//!
//! A body is copied into [`BodySegments`] as it arrives and becomes a [`RequestBody`] when it is
//! complete. Tries and retries of the request share it, and each sends it as a [`BodyStream`].
//! The [`BodyLedger`] counts the memory of all bodies and decides which of them get some.

mod body_ledger;
mod body_memory;
mod body_segments;
mod body_stream;
mod intake_key;
mod memory_limits;
mod memory_shortage;
mod read_body;
mod read_message;
#[expect(clippy::module_inception, reason = "the type that the module is for")]
mod request_body;

pub use body_ledger::{BodyLedger, INTAKE_BYTES};
pub use body_memory::{ArrivingBody, BodyMemory};
pub use body_segments::{BodySegments, SEGMENT_MAX_BYTES};
pub use body_stream::BodyStream;
pub use intake_key::IntakeKey;
pub use memory_limits::MemoryLimits;
pub use memory_shortage::MemoryShortage;
pub use read_body::{BodyReadError, read_body};
pub use read_message::{MessageError, read_message};
pub use request_body::RequestBody;
