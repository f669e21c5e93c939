//! Discovery of the configuration and the members, and this node's announcement.
//!
//! Every call to the store is paid for, and the rate of calls must grow more slowly than
//! the fleet. Therefore only one node of each data centre, the relay that [`RelaySelector`]
//! chooses, watches the store by [`watch_config`] and [`watch_members`]. The other nodes
//! send their requests to the relay, which holds each one until it has an update
//! ([`follow_relay`], [`UpdateHandler`]). A node that learns from a request or a response
//! that another node holds a newer configuration asks that node ([`fetch_newer_config`]).
//! [`keep_announced`] keeps this node's announcement, at a registrar or under a lease of its own.
//! [`StartSchedule`] says when the nodes of a new fleet look for each other. While the store is
//! unavailable, every node keeps the data that it has, and only [`probe_store`] calls the
//! store ([`StoreAccess`]). Relays probe often, and tell the nodes that use them when the
//! store is available again. [`keep_fresh`] confirms the configuration where revocations of keys
//! fail closed and the relay sends no proofs. A node that has just started learns by
//! [`query_leavings`] which starts have left.

mod announce_at_registrar;
mod announcement;
mod announcement_key;
mod announcement_lease;
mod announcer;
mod apply_updates;
mod config_source;
mod config_watcher;
mod confirm_config;
mod era_watch;
mod leaving_handler;
mod leaving_query;
mod member_log;
mod member_watcher;
mod proof_keeper;
mod start_schedule;
mod store_probe;
mod update_client;
mod update_handler;

#[cfg(doc)]
use crate::distribution::{RelaySelector, StoreAccess};
use crate::node_core::NodeCore;

pub use announcement_key::{AnnouncementKey, MEMBER_PREFIX};
pub use announcer::keep_announced;
pub use config_source::ConfigSource;
pub use config_watcher::{OperatorSource, watch_config};
pub use era_watch::watch_eras;
pub use leaving_handler::{LEAVING_PATH, LeavingHandler};
pub use leaving_query::query_leavings;
pub use member_watcher::watch_members;
pub use proof_keeper::keep_fresh;
pub use start_schedule::StartSchedule;
pub use store_probe::probe_store;
pub use update_client::{fetch_newer_config, follow_relay};
pub use update_handler::{UPDATE_PATH, UpdateHandler};

/// Returns the key of this node's announcement.
pub(crate) fn own_key(core: &NodeCore) -> AnnouncementKey {
    AnnouncementKey::new(&core.settings.data_centre, core.settings.peer_addr)
}

/// Prefix of all keys that nodes write to the store.
pub const NODE_PREFIX: &str = "geranium/";
