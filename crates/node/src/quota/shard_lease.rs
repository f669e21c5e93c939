//! Ownership of a shard by this node.

use std::time::Duration;

use super::{OwnerRecord, shard_offer::ShardOffer};
use crate::store::{LeaseId, Revision, StoreEra};

/// Time after its last renewal at which the store removes an owner's key.
pub const SHARD_LEASE_TIME: Duration = Duration::from_secs(4);
/// Time from the sending of the last good renewal for which an owner grants tokens. It ends before
/// the store can give the key to another node.
pub const SHARD_GRANT_TIME: Duration = Duration::from_millis(3_500);
/// Time between renewals. Three may fail before the ownership ends.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a node leaves to the one that claims first, and pause after a failed claim.
pub const CLAIM_PAUSE: Duration = Duration::from_millis(300);
/// Time that a node leaves to others if its data centre has an owner of another shard.
pub const BESIDE_PAUSE: Duration = Duration::from_millis(450);
/// Time that an owner of another shard leaves to nodes without one.
pub const LAST_PAUSE: Duration = Duration::from_millis(750);
/// Pause after a failed renewal.
const RENEW_PAUSE: Duration = Duration::from_millis(200);

/// Which part a node takes in claims of a shard without an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDuty {
    /// It gives up what it owns: it is stopping, or no account has a quota.
    Release,
    /// It claims only a key of its own address: the shard has an owner, or other nodes are to
    /// claim it.
    OwnKey,
    /// It claims at once.
    First,
    /// It leaves [`CLAIM_PAUSE`] to the node that claims first.
    Later,
    /// It leaves [`BESIDE_PAUSE`] to others: its data centre has an owner of another shard.
    Beside,
    /// It leaves [`LAST_PAUSE`] to others: it owns another shard.
    Last,
}

/// What a node knows of a shard and of the store when it decides about its ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseView {
    /// Record of this process.
    pub own: OwnerRecord,
    /// Owner in the store, as far as is known.
    pub owner: Option<OwnerRecord>,
    /// Revision of the last change of the owner; 0 while nothing is known.
    pub revision: Revision,
    /// Latest era of the store that is known.
    pub era: StoreEra,
    /// Until when an owner of an earlier era may grant tokens.
    pub era_settles_at: Duration,
    /// Which part the node takes in claims.
    pub duty: ClaimDuty,
}

/// Ownership that the store confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct OwnedShard {
    lease: LeaseId,
    revision: Revision,
    /// When the last good renewal was sent.
    renewed_at: Duration,
    renew_at: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeaseState {
    /// Another node owns the shard, or nothing is known of it.
    Foreign,
    /// The shard has had no owner since this time.
    Vacant {
        since: Duration,
    },
    /// The owner is stopping and has offered the shard to this node.
    Offered(ShardOffer),
    /// A claim was sent. An earlier ownership goes on meanwhile if it was of an earlier era.
    Claiming {
        owned: Option<OwnedShard>,
    },
    Owned(OwnedShard),
    /// The ownership ended at this node; the store may still hold its key.
    Lost {
        at: Duration,
    },
}

/// Next step towards or within an ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing is due before this time unless something changes.
    Wait {
        /// Time of the boot clock.
        until: Duration,
    },
    /// Request a lease and write the key.
    Claim {
        /// Revision that the key must have; 0 if it must not exist.
        expected: Revision,
        /// Whether this node owns the shard already, by a lease of an earlier era.
        continues: bool,
    },
    /// Request a lease and replace the record of an owner that has handed the shard over.
    TakeOver {
        /// Revision of that record.
        expected: Revision,
    },
    /// Renew the lease.
    Renew {
        /// Lease of the key.
        lease: LeaseId,
    },
    /// Remove the key, which this process or an earlier one at its address wrote.
    Release {
        /// Revision of the key.
        revision: Revision,
    },
}

/// Ownership of a shard by this node.
///
/// All times are those of the boot clock, so that a node that freezes sees that its ownership has
/// ended. The store may come back from an older copy without the key of the present owner. That
/// owner may claim the key again at once; all others wait until no owner of the earlier era can
/// grant tokens any more.
#[derive(Debug, Clone, Copy)]
pub struct ShardLease {
    pub(super) state: LeaseState,
}

impl Default for ShardLease {
    fn default() -> Self {
        Self {
            state: LeaseState::Foreign,
        }
    }
}

impl ShardLease {
    /// Returns whether a claim whose lease was granted may still be written.
    ///
    /// A node may be told to stop while the store grants the lease.
    pub const fn may_write(&self, duty: ClaimDuty) -> bool {
        matches!(self.state, LeaseState::Claiming { .. }) && !matches!(duty, ClaimDuty::Release)
    }

    /// Returns whether this node owns the shard, claims it or is to take it over.
    pub const fn is_held(&self) -> bool {
        matches!(
            self.state,
            LeaseState::Owned(_) | LeaseState::Claiming { .. } | LeaseState::Offered(_)
        )
    }

    /// Returns whether this node owns the shard and may grant tokens.
    pub fn is_owned(&self, now: Duration) -> bool {
        match self.state {
            LeaseState::Owned(owned) | LeaseState::Claiming { owned: Some(owned) } => {
                now < owned.renewed_at + SHARD_GRANT_TIME
            }
            _ => false,
        }
    }

    /// Applies what is known of the shard, and returns the next step.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::{quota::*, store::{LeaseId, Revision, StoreEra}};
    ///
    /// let era = StoreEra(1);
    /// let own = OwnerRecord { at: ([10, 0, 0, 1], 7600).into(), process: ProcessId(5), era,
    ///     settled: true };
    /// let mut view = LeaseView {
    ///     own, owner: None, revision: Revision(3), era,
    ///     era_settles_at: Duration::ZERO, duty: ClaimDuty::First,
    /// };
    /// let now = Duration::from_secs(60);
    /// let mut shard_lease = ShardLease::default();
    /// let action = shard_lease.next_action(now, &view);
    /// assert_eq!(action, LeaseAction::Claim { expected: Revision(0), continues: false });
    /// shard_lease.record_claimed(now, LeaseId { era, number: 9 }, Revision(4));
    /// (view.owner, view.revision) = (Some(own), Revision(4));
    /// let action = shard_lease.next_action(now, &view);
    /// assert_eq!(action, LeaseAction::Wait { until: now + RENEW_INTERVAL });
    /// assert!(shard_lease.is_owned(now + Duration::from_millis(3_499)));
    /// assert!(!shard_lease.is_owned(now + SHARD_GRANT_TIME));
    /// ```
    pub fn next_action(&mut self, now: Duration, view: &LeaseView) -> LeaseAction {
        self.observe(now, view);
        match self.state {
            LeaseState::Owned(owned) if view.duty == ClaimDuty::Release => LeaseAction::Release {
                revision: owned.revision,
            },
            LeaseState::Owned(owned) if owned.lease.era < view.era => self.claim(view, Some(owned)),
            LeaseState::Owned(owned) if now >= owned.renew_at => {
                LeaseAction::Renew { lease: owned.lease }
            }
            LeaseState::Owned(owned) => LeaseAction::Wait {
                until: owned.renew_at,
            },
            LeaseState::Vacant { .. } | LeaseState::Lost { .. } if is_left_over(view) => {
                LeaseAction::Release {
                    revision: view.revision,
                }
            }
            LeaseState::Offered(offer) => self.follow_offer(offer),
            LeaseState::Vacant { since } | LeaseState::Lost { at: since } => {
                self.claim_when_due(now, view, since)
            }
            LeaseState::Foreign | LeaseState::Claiming { .. } => LeaseAction::Wait {
                until: now + RENEW_INTERVAL,
            },
        }
    }

    /// Records that the claim whose lease was requested at `sent_at` succeeded.
    pub fn record_claimed(&mut self, sent_at: Duration, lease: LeaseId, revision: Revision) {
        self.state = LeaseState::Owned(OwnedShard {
            lease,
            revision,
            renewed_at: sent_at,
            renew_at: sent_at + RENEW_INTERVAL,
        });
    }

    /// Records that a claim failed, or that its outcome isn't known.
    pub fn record_claim_failure(&mut self, now: Duration) {
        if let LeaseState::Claiming { owned } = self.state {
            self.state = match owned.filter(|_| self.is_owned(now)) {
                Some(owned) => LeaseState::Owned(owned),
                None => LeaseState::Lost { at: now },
            };
        }
    }

    /// Records that the renewal sent at `sent_at` succeeded.
    pub fn record_renewal(&mut self, sent_at: Duration, lease: LeaseId) {
        if let LeaseState::Owned(owned) = &mut self.state
            && owned.lease == lease
        {
            owned.renewed_at = sent_at;
            owned.renew_at = sent_at + RENEW_INTERVAL;
        }
    }

    /// Records that a renewal failed; the lease may still be valid.
    pub fn record_renewal_failure(&mut self, now: Duration) {
        if let LeaseState::Owned(owned) = &mut self.state {
            owned.renew_at = now + RENEW_PAUSE;
        }
    }

    /// Ends the ownership because the lease has ended or the key was released.
    pub fn record_loss(&mut self, now: Duration) {
        self.state = LeaseState::Lost { at: now };
    }

    /// Ends an ownership that the store or the clock contradicts, and notices vacancies.
    fn observe(&mut self, now: Duration, view: &LeaseView) {
        if let LeaseState::Offered(offer) = self.state
            && !offer.is_valid(now, view)
        {
            self.state = LeaseState::Foreign;
        }
        match self.state {
            LeaseState::Owned(owned) => {
                let is_own = view.owner.is_some_and(|owner| owner.is_of_process(view));
                let is_removed = !is_own && view.revision.era() == owned.lease.era;
                let is_claimed = !is_own && view.owner.is_some_and(|owner| owner.era == view.era);
                let is_replaced = view.revision > owned.revision && (is_removed || is_claimed);
                if is_replaced || !self.is_owned(now) {
                    self.state = LeaseState::Lost { at: now };
                }
            }
            LeaseState::Foreign if may_claim(view) => {
                self.state = LeaseState::Vacant { since: now };
            }
            LeaseState::Vacant { .. } | LeaseState::Lost { .. } if !may_claim(view) => {
                self.state = LeaseState::Foreign;
            }
            _ => {}
        }
    }

    fn claim_when_due(&mut self, now: Duration, view: &LeaseView, since: Duration) -> LeaseAction {
        let has_own_key = view.owner.is_some_and(|owner| owner.at == view.own.at);
        let pause = match view.duty {
            ClaimDuty::Release => None,
            ClaimDuty::OwnKey if !has_own_key => None,
            _ if has_own_key => Some(Duration::ZERO),
            ClaimDuty::First => Some(Duration::ZERO),
            ClaimDuty::OwnKey | ClaimDuty::Later => Some(CLAIM_PAUSE),
            ClaimDuty::Beside => Some(BESIDE_PAUSE),
            ClaimDuty::Last => Some(LAST_PAUSE),
        };
        let Some(pause) = pause else {
            return LeaseAction::Wait {
                until: now + RENEW_INTERVAL,
            };
        };
        // A claim that failed at this node isn't repeated at once.
        let is_repeated = matches!(self.state, LeaseState::Lost { .. });
        let repeat_pause = if is_repeated {
            CLAIM_PAUSE
        } else {
            Duration::ZERO
        };
        let mut due = since + pause.max(repeat_pause);
        if !view.era.is_none() {
            due = due.max(view.era_settles_at);
        }
        if now < due {
            return LeaseAction::Wait { until: due };
        }
        self.claim(view, None)
    }

    fn claim(&mut self, view: &LeaseView, owned: Option<OwnedShard>) -> LeaseAction {
        self.state = LeaseState::Claiming { owned };
        // A key that the table knows from an earlier era may have another revision now.
        let is_present = view.owner.is_some() && view.revision.era() == view.era;
        LeaseAction::Claim {
            expected: if is_present {
                view.revision
            } else {
                Revision(0)
            },
            continues: owned.is_some(),
        }
    }
}

/// Returns whether the shard has no owner but, at most, a process that has ended: one at this
/// node's own address is the predecessor of this process, or lost the shard here.
fn may_claim(view: &LeaseView) -> bool {
    match view.owner {
        None => view.revision != Revision(0),
        Some(owner) => owner.at == view.own.at,
    }
}

/// Returns whether the store holds a key of this node's address that no process keeps up: a claim
/// without an answer took effect, a removal failed, or an earlier process has died.
fn is_left_over(view: &LeaseView) -> bool {
    view.duty == ClaimDuty::Release
        && view.owner.is_some_and(|owner| owner.at == view.own.at)
        && view.revision.era() == view.era
}

impl OwnerRecord {
    fn is_of_process(self, view: &LeaseView) -> bool {
        self.at == view.own.at && self.process == view.own.process
    }
}
