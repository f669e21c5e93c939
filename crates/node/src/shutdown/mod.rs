//! Shutdown of a node: what it still takes, how long that may take, and who has to know.
//!
//! [`ShutdownSchedule`] has the times. They bound the deadline of every request that a stopping
//! node takes or forwards, so admission, queues and links plan with the time that is really left.
//! For requests that were forwarded before the stop signal, the node sends a [`StopNotice`] to the
//! nodes that run them.

mod send_stop_notices;
mod shutdown_schedule;
mod stop_node;
mod stop_notice;
mod stop_notice_handler;
mod transfer_progress;

pub use shutdown_schedule::{CALLER_DRAIN_TIME, ShutdownSchedule};
pub use stop_node::stop_node;
pub use stop_notice::StopNotice;
pub use stop_notice_handler::{STOP_NOTICE_PATH, StopNoticeHandler};
pub use transfer_progress::TransferProgress;
