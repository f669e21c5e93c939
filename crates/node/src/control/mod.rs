//! The control thread: configuration, membership, and the own backend
//! server's life cycle.

mod backend_watch;
mod control_event;
mod control_links;
mod control_loop;
mod platform_duty;

pub use control_event::ControlEvent;
pub use control_links::{ControlLinks, listen};
pub use control_loop::{ControlLoop, ControlParts};
pub use platform_duty::PlatformDuty;
