//! Following what the store holds, and announcing there.
//!
//! Three tasks, each with a loop of its own: [`follow_config`] keeps the
//! configuration, [`follow_members`] the members, and [`keep_announced`] the
//! own announcement under a lease. While the store is away each keeps what it
//! has. [`catch_up`] takes a newer configuration from another node when the
//! store doesn't serve this one.

mod announcer;
mod catch_up;
mod config_follower;
mod config_source;
mod member_follower;
mod store_pause;

pub use announcer::keep_announced;
pub use catch_up::{CONFIG_PATH, catch_up, config_document};
pub use config_follower::follow_config;
pub use config_source::ConfigSource;
pub use member_follower::follow_members;
pub use store_pause::StorePause;

/// Prefix of the announcements in the store.
pub const MEMBER_PREFIX: &str = "geranium/member/";
