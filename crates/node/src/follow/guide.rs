//! Which node watches the store for whom.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use crate::member::MemberRecord;

/// Time since the store's last answer after which a node counts as cut off
/// from it. Announcements are renewed every two seconds, and a call may take
/// one.
const STORE_STALE: Duration = Duration::from_millis(3_500);
/// Time for which a node that failed as a guide isn't asked again.
const GUIDE_OUT: Duration = Duration::from_secs(5);
/// Time after a question for which a node watches the store because of it.
/// Whoever follows asks again every two seconds.
const ASKED_TIME: Duration = Duration::from_secs(5);

/// Where a node gets its news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GuideChoice {
    /// From the store.
    Store,
    /// From the node at this address.
    Node(SocketAddr),
}

/// Chooses which node watches the store for whom.
///
/// **Load pattern.** A change in the store concerns every node, and comes
/// several times a second at times. **Without it** every node makes a call for
/// each change: 88 calls where three do.
///
/// **How.** All nodes of a data centre order its members alike, those with
/// the best links first, and ask the first that doesn't fail them. No election
/// is needed: a node that is asked watches the store, whatever its own view of
/// the order. A guide that the store turns away tells how old its news are,
/// and is passed over by whoever has heard of the store since.
#[derive(Debug)]
pub struct Guide {
    own: SocketAddr,
    out_until: HashMap<SocketAddr, Duration>,
    asked_until: Duration,
    store_seen: Duration,
}

impl Guide {
    /// Makes the guide of the node at `own`.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            out_until: HashMap::new(),
            asked_until: Duration::ZERO,
            store_seen: Duration::ZERO,
        }
    }

    /// Notes that the store answered.
    pub fn store_answered(&mut self, now: Duration) {
        self.store_seen = now;
    }

    /// Returns the time since the store's last answer.
    pub fn store_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.store_seen)
    }

    /// Notes that another node asked this one.
    pub fn asked(&mut self, now: Duration) {
        self.asked_until = now + ASKED_TIME;
    }

    /// Notes that the node at `hop` gave no answer.
    pub fn failed(&mut self, now: Duration, hop: SocketAddr) {
        self.out_until.insert(hop, now + GUIDE_OUT);
    }

    /// Takes in how old the news of the node at `hop` are. One that is cut off
    /// from the store is passed over, unless this node is as well.
    pub fn told_age(&mut self, now: Duration, hop: SocketAddr, age: Duration) {
        if age > STORE_STALE && self.store_age(now) <= STORE_STALE {
            self.failed(now, hop);
        }
    }

    /// Whether this node watches the store because another asked it.
    pub fn is_asked(&self, now: Duration) -> bool {
        now < self.asked_until
    }

    /// Chooses among the members of the data centre, best first.
    pub fn choose(&self, now: Duration, carriers: &[&MemberRecord]) -> GuideChoice {
        let cut_off = self.store_age(now) > STORE_STALE;
        for record in carriers {
            if record.hop == self.own {
                if cut_off {
                    continue;
                }
                return GuideChoice::Store;
            }
            let out = self.out_until.get(&record.hop);
            if out.is_none_or(|&until| now >= until) {
                return GuideChoice::Node(record.hop);
            }
        }
        GuideChoice::Store
    }
}
