//! Rule by which nodes agree, without messages, who claims a shard without an owner.

use std::net::SocketAddr;

use super::{ClaimDuty, OwnerTable, SHARD_COUNT, ShardCandidate, ShardId};

/// Rule by which nodes agree, without messages, who claims a shard without an owner.
///
/// All nodes compute it from members and owners, which they know within a fraction of a second.
/// Nodes that differ in what they know may claim the same shard; the store lets one of them have
/// it. A node that owns no shard comes before one that does, a data centre without an owner before
/// one that has one, and the shard's own data centre before others.
#[derive(Debug, Clone, Copy)]
pub struct ClaimRule<'a> {
    /// Owners, as far as they are known.
    pub owners: &'a OwnerTable,
    /// Nodes that may own shards.
    pub candidates: &'a [ShardCandidate],
    /// Shards that this node owns or claims.
    pub held: [bool; SHARD_COUNT],
    /// Address of this node.
    pub own: SocketAddr,
    /// Whether this node watches the store.
    pub watches_store: bool,
}

impl ClaimRule<'_> {
    /// Returns this node's part in claims of a shard.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::quota::*;
    ///
    /// let candidate = |number: u8, centre, position| ShardCandidate {
    ///     at: ([10, 0, 0, number], 7600).into(), centre, position, is_leaving: false,
    /// };
    /// let candidates = [candidate(1, 0, 0), candidate(2, 0, 1), candidate(3, 1, 0)];
    /// let rule = ClaimRule {
    ///     owners: &OwnerTable::default(),
    ///     candidates: &candidates,
    ///     held: [false; SHARD_COUNT],
    ///     own: candidates[2].at,
    ///     watches_store: true,
    /// };
    /// assert_eq!(rule.duty(ShardId::at(1)), ClaimDuty::First);
    /// assert_eq!(rule.duty(ShardId::at(0)), ClaimDuty::Later);
    /// ```
    pub fn duty(&self, shard: ShardId) -> ClaimDuty {
        if self.claimant(shard) == Some(self.own) {
            return ClaimDuty::First;
        }
        let own = self.candidate(self.own);
        let is_candidate = own.is_some_and(|candidate| !candidate.is_leaving);
        if !is_candidate && !self.watches_store {
            return ClaimDuty::OwnKey;
        }
        let holders = self.holders();
        if holders.contains(&self.own) {
            return ClaimDuty::Last;
        }
        match own {
            Some(own) if self.has_holder(own.centre, &holders) => ClaimDuty::Beside,
            _ => ClaimDuty::Later,
        }
    }

    /// Returns the node to which this one hands a shard over before it stops; none if only owners
    /// of other shards are left.
    ///
    /// It is the node that would claim the shard first if this node had released all its shards.
    /// `refusing` are nodes that don't take it.
    pub fn successor(&self, shard: ShardId, refusing: &[SocketAddr]) -> Option<SocketAddr> {
        let owner_of = |shard| self.owners.owner(shard).map(|owner| owner.at);
        let foreign = |shard: ShardId| owner_of(shard).filter(|at| *at != self.own);
        let mut holders: Vec<SocketAddr> = ShardId::ALL.into_iter().filter_map(foreign).collect();
        let given_up = ShardId::ALL.into_iter();
        for vacant in given_up.filter(|shard| foreign(*shard).is_none()) {
            let successor = self.best(vacant, &holders, |candidate| {
                candidate.at != self.own
                    && !refusing.contains(&candidate.at)
                    && !holders.contains(&candidate.at)
            })?;
            if vacant == shard {
                return Some(successor);
            }
            holders.push(successor);
        }
        None
    }

    /// Returns which node claims a shard first; none if the shard has an owner or nobody may.
    fn claimant(&self, shard: ShardId) -> Option<SocketAddr> {
        let mut holders = self.holders();
        for vacant in ShardId::ALL {
            let is_own_claim = self.held[vacant.index()];
            if self.owners.owner(vacant).is_some() || (is_own_claim && vacant != shard) {
                continue;
            }
            let claimant = self.best(vacant, &holders, |_| true)?;
            if vacant == shard {
                return Some(claimant);
            }
            holders.push(claimant);
        }
        None
    }

    fn best(
        &self,
        shard: ShardId,
        holders: &[SocketAddr],
        is_allowed: impl Fn(&ShardCandidate) -> bool,
    ) -> Option<SocketAddr> {
        let ready = self.candidates.iter();
        let ready = ready.filter(|candidate| !candidate.is_leaving && is_allowed(candidate));
        let best = ready.min_by_key(|candidate| {
            (
                self.owners.last_owner(shard) == Some(candidate.at),
                holders.contains(&candidate.at),
                self.has_holder(candidate.centre, holders),
                candidate.centre as usize != shard.index(),
                candidate.position,
                candidate.centre,
                candidate.at,
            )
        });
        best.map(|candidate| candidate.at)
    }

    /// Returns the nodes that own a shard, and this node for each that it claims or takes over.
    fn holders(&self) -> Vec<SocketAddr> {
        let owners = ShardId::ALL.into_iter().filter_map(|shard| {
            let owner = self.owners.owner(shard).map(|owner| owner.at);
            let own = self.held[shard.index()].then_some(self.own);
            own.or(owner)
        });
        owners.collect()
    }

    fn has_holder(&self, centre: u32, holders: &[SocketAddr]) -> bool {
        let mut holders = holders.iter();
        holders.any(|&holder| {
            self.candidate(holder)
                .is_some_and(|candidate| candidate.centre == centre)
        })
    }

    fn candidate(&self, at: SocketAddr) -> Option<&ShardCandidate> {
        self.candidates.iter().find(|candidate| candidate.at == at)
    }
}
