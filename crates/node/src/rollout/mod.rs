//! Rollouts: a service's traffic is moved to a new version of its backend servers.
//!
//! An operator orders a rollout ([`RolloutOrder`]), and the platform starts backend servers of
//! the target version beside those of the current one. One node decides about it
//! ([`decide_rollouts`]): the relay that saw the order first, and another one if that node
//! fails. It keeps the state in the store as a [`RolloutRecord`], which reaches every node like
//! an announcement ([`RolloutRegistry`]). Each change is one conditional write, together with
//! the status that operators read.
//!
//! A rollout passes through the stages of [`RolloutStage`]. At first the target version gets a
//! small share of the requests, concentrated on a few backend servers, so that these are as
//! busy as the others ([`TrafficSplit`]). The share is kept by each node for the requests that
//! it sends itself, so the sum holds whichever nodes run. The nodes beside the backend servers
//! count how runs end ([`RunLedger`]), and the deciding node compares the two versions
//! ([`VersionComparison`]). A bad version is rolled back: the nodes beside its backend servers
//! refuse at once. A good one gets growing shares and at last all requests. The nodes beside
//! the backend servers of the earlier version then refuse new requests, and the rollout is
//! complete when nothing runs there any more.
//!
//! The deciding node watches the orders until the rollout has ended, whether or not it watches the
//! store for others, since no other node tells it that the order is deleted ([`OrderBook`]). While
//! it doesn't know whether there is an order, it decides nothing but roll-backs.
//!
//! The deciding node may not know a backend server, as the store may have gone away just after its
//! announcement. So a node beside a version on trial that isn't asked asks the deciding one
//! ([`ask_decider`]).
//!
//! Apart from [`decide_rollouts`], [`ask_decider`] and [`RolloutHandler`], nothing here does I/O.

mod ask_decider;
mod commit_rollout;
mod decide_rollouts;
mod decided_rollout;
mod decider_contact;
mod gather_reports;
mod order_book;
mod rollout_handler;
mod rollout_messages;
mod rollout_order;
mod rollout_record;
mod rollout_registry;
mod rollout_source;
mod rollout_stage;
mod run_counts;
mod run_ledger;
mod send_probe;
mod traffic_split;
mod version_comparison;

pub use ask_decider::ask_decider;
pub use decide_rollouts::decide_rollouts;
pub use decider_contact::DeciderContact;
pub use order_book::{OrderBook, OrderState};
pub use rollout_handler::{ROLLOUT_PATH, RolloutHandler};
pub use rollout_messages::{RolloutProbe, RolloutReport, RolloutState};
pub use rollout_order::{OrderInput, RolloutOrder, RolloutOrderError};
pub use rollout_record::{ROLLOUT_PREFIX, RolloutPhase, RolloutRecord, rollout_key};
pub use rollout_registry::RolloutRegistry;
pub use rollout_source::{RolloutSource, RolloutStatus};
pub use rollout_stage::{RolloutInputs, RolloutStage, StageChange, StageStep, WaitReason};
pub use run_counts::RunCounts;
pub use run_ledger::{RunLedger, RunOutcome};
pub use traffic_split::{SplitDecision, TrafficSplit, first_target_count, first_targets};
pub use version_comparison::{ComparisonSide, ComparisonVerdict, VersionComparison};
