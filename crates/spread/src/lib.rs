//! Configuration and membership of the fleet, as one state machine.
//!
//! [`FleetCore`] is what a node's control thread drives. It is told what came
//! in ([`ControlEnvelope`], [`PlatformReport`], changes of the own row) and the
//! time, and answers with [`FleetAction`]s: messages to send, platform calls to
//! make, and what changed. It does no I/O, reads no clock and starts no thread.
//!
//! Inside, [`MemberTable`] holds the fleet's rows, [`choose_links`] picks the
//! few members to keep links to, [`DataCentreBeats`] tells a cut-off data
//! centre from failed members, [`CrashSet`] holds crash rows, and
//! [`PlatformDesk`] keeps platform calls within a budget. `docs/SPREADING.md`
//! has the rules and why they are so.

mod chunk_assembly;
mod config_state;
mod control_message;
mod core_config;
mod core_crashes;
mod core_detection;
mod core_exchange;
mod core_fetch;
mod core_join;
mod core_links;
mod core_members;
mod core_platform;
mod core_push;
mod core_repair;
mod crash_set;
mod data_centre_beats;
mod envelope;
mod example;
mod failure_detector;
mod fleet_action;
mod fleet_core;
mod fleet_counters;
mod fleet_settings;
mod hash;
mod link_choice;
mod member_table;
mod peer_state;
mod platform_call;
mod platform_desk;
mod preset_shelf;
mod seed_list;
mod start_gate;
mod token_bucket;
mod wire_delta;

pub use chunk_assembly::{CHUNK_BYTES, CHUNKS_AT_ONCE, ChunkAssembly};
pub use control_message::{
    ConfigMark, ControlMessage, CrashNote, DigestKind, RowMark, StateDigest,
};
pub use crash_set::CrashSet;
pub use data_centre_beats::{DataCentreBeats, SILENT_AFTER};
pub use envelope::{ControlEnvelope, EnvelopeError, MESSAGE_BYTES_MAX, PROTOCOL_VERSION};
pub use example::example_row;
pub use fleet_action::FleetAction;
pub use fleet_core::FleetCore;
pub use fleet_counters::FleetCounters;
pub use fleet_settings::FleetSettings;
pub use hash::name_key;
pub use link_choice::{
    CHOSEN_LINKS, FAR_LINKS, LinkCandidate, LinkClass, NEAR_LINKS, OWN_LINKS, choose_links,
};
pub use member_table::{BUCKETS, MarkComparison, MemberEntry, MemberTable};
pub use platform_call::{InForceRead, PlatformCall, PlatformReport};
pub use platform_desk::PlatformDesk;
pub use seed_list::SeedList;
pub use start_gate::{PEER_VOTES, StartGate};
pub use token_bucket::TokenBucket;
pub use wire_delta::WireDelta;
