//! Bodies of requests: how they are read, held and sent on.
//!
//! A body is copied into [`BodySegments`] as it arrives and becomes a [`RequestBody`] when it is
//! complete. Tries and retries of the request share it, and each sends it as a [`BodyStream`].

mod body_segments;
mod body_stream;
mod read_body;
mod read_message;
#[expect(clippy::module_inception, reason = "the type that the module is for")]
mod request_body;

pub use body_segments::{BodySegments, SEGMENT_MAX_BYTES};
pub use body_stream::BodyStream;
pub use read_body::{BodyReadError, read_body};
pub use read_message::{MessageError, read_message};
pub use request_body::RequestBody;
