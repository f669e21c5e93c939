//! Following what the store holds, and announcing there.
//!
//! Every call to the store is paid for, and its rates grow more slowly than
//! the fleet. So only one node of each data centre watches it, as [`RelaySelector`]
//! chooses; [`watch_config`] and [`watch_members`] run there. The others ask
//! that node, which holds each question until it has news ([`follow_relay`],
//! [`UpdateHandler`]). Whoever hears on the way of a request that another node
//! holds a later configuration, asks that one ([`catch_up`]).
//! [`keep_announced`] keeps the own announcement under a lease. While the
//! store is away everyone keeps what they have, and only [`probe_store`]
//! calls it ([`StoreAccess`]): often at the nodes that others follow, which tell
//! them when it is back.

mod announcement_key;
mod announcer;
mod config_source;
mod config_watcher;
mod era_watch;
mod fleet_follower;
mod member_notes;
mod member_watcher;
mod store_probe;
mod update_handler;
mod update_intake;

#[cfg(doc)]
use crate::distribution::{RelaySelector, StoreAccess};
use crate::node_core::NodeCore;

pub use announcement_key::{AnnouncementKey, MEMBER_PREFIX};
pub use announcer::keep_announced;
pub use config_source::ConfigSource;
pub use config_watcher::watch_config;
pub use era_watch::watch_eras;
pub use fleet_follower::{catch_up, follow_relay};
pub use member_watcher::watch_members;
pub use store_probe::probe_store;
pub use update_handler::{UPDATE_PATH, UpdateHandler};

/// Returns the key of a node's own announcement.
pub(crate) fn own_key(core: &NodeCore) -> AnnouncementKey {
    AnnouncementKey::new(&core.settings.data_centre, core.settings.peer_addr)
}

/// Prefix of all that nodes keep in the store.
pub const NODE_PREFIX: &str = "geranium/";
