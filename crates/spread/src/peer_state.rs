//! What a node remembers about another that it exchanges messages with.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use geranium_model::InstanceName;

use crate::{ConfigMark, TokenBucket};

/// Bytes a second of repairs that one peer gets: the rest is for others.
const PEER_REPAIR_RATE: f64 = 8_000.0;
/// Bytes of repairs that one peer gets at once: all rows of 1,600 members.
const PEER_REPAIR_BURST: f64 = 192_000.0;

/// One peer.
#[derive(Debug)]
pub(crate) struct PeerState {
    /// Where it says it takes messages.
    pub addr: SocketAddr,
    /// When it was last heard.
    pub heard_at: Duration,
    /// Configuration it last said it has.
    pub mark: Option<ConfigMark>,
    /// When it last said that it chose a link to this node.
    pub chose_us_at: Option<Duration>,
    /// When it was last told what the fleet holds of it.
    pub corrected_at: Option<Duration>,
    /// When a repair with it was last begun.
    pub repaired_at: Option<Duration>,
    /// When a configuration was last asked from or pushed to it.
    pub config_at: Option<Duration>,
    /// Bytes of repairs it may get.
    pub repairs: TokenBucket,
    /// Members whose rows it should get.
    pub outbox: BTreeSet<InstanceName>,
}

impl PeerState {
    pub const fn new(addr: SocketAddr, now: Duration) -> Self {
        Self {
            addr,
            heard_at: now,
            mark: None,
            chose_us_at: None,
            corrected_at: None,
            repaired_at: None,
            config_at: None,
            repairs: TokenBucket::new(PEER_REPAIR_RATE, PEER_REPAIR_BURST, PEER_REPAIR_BURST),
            outbox: BTreeSet::new(),
        }
    }
}

/// Lets something happen at most once in `gap`, and notes when it does.
pub(crate) fn spaced(last: &mut Option<Duration>, now: Duration, gap: Duration) -> bool {
    let due = last.is_none_or(|last| now.saturating_sub(last) >= gap);
    if due {
        *last = Some(now);
    }
    due
}
