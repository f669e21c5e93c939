//! State and messages for distributing the configuration and the members, without I/O.
//!
//! [`Guide`] selects one node in each data centre to watch the store. The other nodes send
//! it a [`FollowQuestion`], which it holds until it has news or the wait expires, and
//! answers with a [`FollowAnswer`]. [`ConfigHistory`] provides the changes since the
//! version they hold, or the whole configuration if it no longer has that version.
//! [`StoreAccess`] decides how often an unavailable store is called. The tasks that use
//! these types are in [`follow`](crate::follow).

mod config_history;
mod follow_message;
mod guide;
mod packed_config;
mod store_access;

pub use config_history::ConfigHistory;
pub use follow_message::{ConfigNews, FollowAnswer, FollowQuestion, FollowQuestionError};
pub use guide::{Guide, GuideChoice, StoreContact};
pub use packed_config::{PackedConfig, UnpackError};
pub use store_access::{LookDuty, StoreAccess};
