//! Fleets of real nodes beside stand-ins: demo, load and fault soak.
//!
//! A [`RigFleet`] holds real node processes ([`RigNode`]), each with a backend
//! server ([`RigEndpoint`]) and links that can be made to fail ([`LinkProxy`]),
//! around one store. [`CallerLoad`] sends requests on a schedule that doesn't wait
//! for earlier responses, and checks each response. [`soak`] injects faults from
//! outside the nodes and checks the fleet's promises; [`demo`] shows both users'
//! fleets in operation.

mod child_process;
pub mod demo;
mod http_post;
mod link_fault;
mod link_proxy;
mod load;
mod notice_span;
mod program_paths;
mod rig_endpoint;
mod rig_error;
mod rig_fleet;
mod rig_node;
pub mod soak;

pub use child_process::{ChildProcess, ProcessSignal};
pub use link_fault::LinkFault;
pub use link_proxy::LinkProxy;
pub use load::{CallKind, CallOutcome, CallRecord, CallSender, CallerLoad, LoadPlan};
pub use notice_span::{NoticeKind, NoticeSpan};
pub use program_paths::ProgramPaths;
pub use rig_endpoint::{AckedDrain, RigEndpoint};
pub use rig_error::RigError;
pub use rig_fleet::{FILES, ORDERS, PRICES, RigFleet, marker_path};
pub use rig_node::{NodeEvent, NodeEventKind, NodePlan, RigNode};
