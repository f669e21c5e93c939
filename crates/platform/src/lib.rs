//! Access to the platform's key-value service.
//!
//! [`PlatformStore`] is all that the project knows of that service: reads,
//! compare-and-swap, leases and watches. [`GatewayStore`] implements it over
//! HTTP and JSON in the published shape of etcd's v3 gateway, and nothing
//! outside `gateway` knows that shape. [`MemoryStore`] implements it in memory
//! with injectable faults, for tests.
//!
//! A write whose answer was lost may have taken effect. [`PlatformError`] says
//! for each failure which of the two holds ([`PlatformError::effect`]), so that
//! a caller never takes "unknown" for "no".

mod cas_answer;
mod entry;
mod gateway;
mod lease;
mod memory;
mod platform_error;
mod platform_store;
mod revision;
mod watch_answer;
mod write_effect;

pub use cas_answer::CasAnswer;
pub use entry::Entry;
pub use gateway::{Endpoint, EndpointError, GatewaySettings, GatewayStore};
pub use lease::{LeaseAnswer, LeaseId};
pub use memory::{CallFault, MemoryStore};
pub use platform_error::PlatformError;
pub use platform_store::PlatformStore;
pub use revision::Revision;
pub use watch_answer::WatchAnswer;
pub use write_effect::WriteEffect;
