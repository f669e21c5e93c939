//! Stand-in for the platform's key-value service.
//!
//! Serves the part of etcd's v3 JSON gateway that the project uses from
//! memory, counts the calls and fails on request. [`PlatformServer`] runs it
//! inside a test; `geranium-standin-platform` is the same as a process.
//!
//! | path | what it does |
//! | --- | --- |
//! | `/v3/kv/range`, `/v3/kv/txn` | reads; compare-and-swap |
//! | `/v3/lease/grant`, `keepalive`, `revoke` | leases |
//! | `/v3/watch` | events as lines of JSON, as they happen |
//! | `GET /standin/counts` | calls by kind, in all and in the last 120 s |
//! | `POST /standin/faults` | replaces the [`FaultPlan`] |

mod call_counts;
mod call_kind;
mod fault_plan;
mod key_history;
mod platform_server;
mod rate_ceiling;
mod reply;
mod request_handler;
mod server_settings;
mod shared_state;
mod store_state;
mod watch_feed;
mod wire;

pub use call_counts::{CallCounts, CountsReport, SecondCounts};
pub use call_kind::CallKind;
pub use fault_plan::{DownMode, FaultPlan, FaultRequest};
pub use platform_server::PlatformServer;
pub use server_settings::ServerSettings;
