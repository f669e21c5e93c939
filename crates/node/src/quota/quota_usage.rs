//! Use of quotas, as operators see it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Requests of an account at one node since the node's start, with the account's quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Name of the account.
    pub account: String,
    /// Rate of the quota, in thousandths of a request per second.
    pub rate_milli_per_s: u64,
    /// Burst of the quota, in thousandths of a request.
    pub burst_milli: u64,
    /// Requests that got a token.
    pub admitted: u64,
    /// Admitted requests that didn't run and returned their token.
    pub returned: u64,
    /// Requests refused because the account was over its quota.
    pub refused: u64,
    /// Requests refused because no owner answered.
    pub unknown: u64,
}

/// Owner of a shard, as a node knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardStatus {
    /// Number of the shard.
    pub shard: u8,
    /// Address of the owner; none if the shard has no owner.
    pub owner: Option<SocketAddr>,
    /// Whether this node owns the shard and grants its tokens.
    pub owned_here: bool,
}

/// Quotas on the status page of a node.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// Owners of the shards.
    pub shards: Vec<ShardStatus>,
    /// Accounts whose requests arrived at this node, sorted by name.
    pub accounts: Vec<AccountUsage>,
}
