//! Messages between the nodes that use tokens and the owners that grant them.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::OwnerEntry;

/// Question of a node to the owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaCall {
    /// Address of the node that asks.
    pub from: SocketAddr,
    /// Version of the configuration that the node holds.
    pub version: u64,
    /// Number of the shard.
    pub shard: u8,
    /// Accounts whose tokens the node needs.
    pub asks: Vec<QuotaAsk>,
}

/// Question for tokens of one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// Hash of the account's name.
    pub account: u64,
    /// Tokens that the node expects to use.
    pub wanted: u32,
    /// Requests that wait for the answer.
    pub waiting: u32,
    /// How many of these are taken for callers that return at their turns.
    pub returning: u32,
    /// Turns that the node needs if the tokens don't suffice.
    pub turns: u32,
}

/// Times at which refused callers may return, evenly spaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TurnRun {
    /// Microseconds from the answer to the first turn.
    pub first_us: u64,
    /// Microseconds between two turns.
    pub step_us: u64,
    /// Number of turns.
    pub count: u32,
}

impl TurnRun {
    /// Yields the times of the turns, counted from `now`.
    pub fn times(self, now: Duration) -> impl Iterator<Item = Duration> {
        let first = now.saturating_add(Duration::from_micros(self.first_us));
        let step = Duration::from_micros(self.step_us);
        (0..self.count).map(move |number| first.saturating_add(step.saturating_mul(number)))
    }
}

/// Answer to a [`QuotaAsk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Hash of the account's name.
    pub account: u64,
    /// Whether the owner's configuration has a quota of the account at this shard.
    pub known: bool,
    /// Tokens granted.
    pub tokens: u32,
    /// Microseconds until another token may be free; 0 if one may be free now.
    pub wait_us: u64,
    /// Turns for callers that are refused.
    pub turns: TurnRun,
    /// Microseconds after which a caller without a turn may return.
    pub queue_us: u64,
}

impl QuotaGrant {
    /// Returns the answer about an account without a quota at the shard.
    pub fn unknown(account: u64) -> Self {
        Self {
            account,
            known: false,
            tokens: 0,
            wait_us: 0,
            turns: TurnRun::default(),
            queue_us: 0,
        }
    }

    /// Returns the answer about an account whose quota was lifted.
    pub fn unlimited(ask: &QuotaAsk) -> Self {
        Self {
            known: true,
            tokens: ask.wanted,
            ..Self::unknown(ask.account)
        }
    }
}

/// Answer to a [`QuotaCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Whether the node owns the shard.
    pub owned: bool,
    /// Answers in the order of the questions; empty if the node doesn't own the shard.
    pub grants: Vec<QuotaGrant>,
    /// Owner as the node knows it, if that is another one. Nodes of the version before neither send
    /// nor read it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<OwnerEntry>,
}
