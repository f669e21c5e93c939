//! HTTP server of the callers' port, which serves pipelined requests side by side.
//!
//! A caller may send further requests on a connection before the first is answered, and
//! one slow request must not delay the runs of those behind it. [`RequestReader`] finds where
//! each request ends, [`begin_decision`] says whether it may begin beside unanswered ones, and
//! [`serve_pipelined`] gives it to a free lane: a `hyper` connection in memory. Only the
//! front lane, whose request is the oldest unanswered one, writes to the socket; the
//! other lanes keep their output until they are at the front. So responses leave in the order
//! of the requests. A caller without pipelining only ever uses the first lane.
//!
//! A request that the reader can't delimit is served like the rest of its connection by
//! one `hyper` connection that reads the socket itself.

mod begin_decision;
mod held_bytes;
mod lane;
mod lane_body;
mod lane_io;
mod lane_key;
mod lane_state;
mod lane_waker;
mod pipeline_connection;
mod request_frame;
mod request_reader;
mod request_target;
mod serve_pipelined;

pub use begin_decision::{BeginDecision, REQUESTS_MAX, begin_decision};
pub use held_bytes::{HELD_MAX_BYTES, HeldBytes};
pub use request_frame::{FrameScan, RequestFrame, scan_request};
pub use request_reader::{READ_AHEAD_MAX_BYTES, RequestReader};
pub use request_target::RequestTarget;
pub use serve_pipelined::serve_pipelined;
