//! Quotas: how many requests of an account all nodes together may run in a window.
//!
//! A request needs a token of its account. The quota of each account is split over shards
//! ([`ShardSplit`]). Each [`ShardId`] has at most one owner, a node whose [`ShardLease`] the store
//! confirms. The owner's [`QuotaLedger`] grants tokens to the nodes that ask, and a node's
//! [`QuotaHolder`] keeps them until they are used or expire. These types do no I/O and take the
//! time of the boot clock as an argument. Around them, [`admit`] takes a token for a request,
//! [`keep_shard`] claims and renews the ownership of a shard, and [`QuotaHandler`] answers other
//! nodes. [`QuotaState`] exists only where the settings have a quota window, and does nothing
//! before a configuration holds an account with a quota.
//!
//! The load is a few large accounts, whose requests arrive at every node, and many small ones.
//! Sharing one limit over all nodes needs messages; the holder bounds them by asking for the use of
//! a part of a second and by remembering refusals, so that a flood costs none.

mod admit;
mod ask_sender;
mod bucket_state;
mod claim_rule;
mod demand_rate;
mod hand_over;
mod handed_ledgers;
mod handover_handler;
mod handover_messages;
mod held_account;
mod keep_shard;
mod owner_record;
mod owner_table;
mod quota_counters;
mod quota_handler;
mod quota_holder;
mod quota_ledger;
mod quota_messages;
mod quota_ownership;
mod quota_pass;
mod quota_report;
mod quota_state;
mod quota_usage;
mod shard_candidate;
mod shard_id;
mod shard_lease;
mod shard_offer;
mod shard_split;
mod token_bucket;
mod usage_counts;

pub use admit::admit;
pub use bucket_state::BucketState;
pub use claim_rule::ClaimRule;
pub use handed_ledgers::HandedLedgers;
pub use handover_handler::{HANDOVER_PATH, HandoverHandler};
pub use handover_messages::{HandoverCall, HandoverReply};
pub use keep_shard::keep_shard;
pub use owner_record::{OwnerRecord, ProcessId};
pub use owner_table::{OwnerChange, OwnerEntry, OwnerTable};
pub use quota_counters::QuotaCounters;
pub use quota_handler::{QUOTA_PATH, QuotaHandler};
pub use quota_holder::{QuotaHolder, TakeStep, TokenQuery, TokenVisit};
pub use quota_ledger::QuotaLedger;
pub use quota_messages::{QuotaAsk, QuotaCall, QuotaGrant, QuotaReply, TurnRun};
pub use quota_pass::QuotaPass;
pub use quota_state::QuotaState;
pub use quota_usage::{AccountUsage, QuotaStatus, ShardStatus};
pub use shard_candidate::ShardCandidate;
pub use shard_id::{QUOTA_PREFIX, SHARD_COUNT, ShardId};
pub use shard_lease::{
    BESIDE_PAUSE, CLAIM_PAUSE, ClaimDuty, LAST_PAUSE, LeaseAction, LeaseView, RENEW_INTERVAL,
    SHARD_GRANT_TIME, SHARD_LEASE_TIME, ShardLease,
};
pub use shard_offer::OFFER_TIME;
pub use shard_split::ShardSplit;
