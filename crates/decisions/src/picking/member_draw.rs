//! The better of two random members.

use std::time::Duration;

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::{
    backend_arena::BackendArena, backend_key::BackendKey, member_grade::MemberGrade,
    service_pool::ServicePool,
};

/// Members compared for a pick: two random choices take nearly all of the
/// gain over one, and more would send every node to the same best member.
const CHOICES: usize = 2;
/// Random draws before the members are walked through in turn.
const DRAWS: usize = 6;

/// Most members walked through. It covers every service of today in full, and
/// in one of hundreds with nearly all unfit it bounds the cost of a pick.
const WALK_MAX: usize = 64;

type FoundMembers = SmallVec<[BackendKey; CHOICES]>;

/// One draw among the members of a service.
#[derive(Debug)]
pub(super) struct MemberDraw<'a> {
    pub(super) now: Duration,
    pub(super) arena: &'a BackendArena,
    pub(super) pool: &'a ServicePool,
    pub(super) exclude: &'a [BackendKey],
}

impl MemberDraw<'_> {
    /// Takes the better of two members of one distance that are of `grade` or
    /// better.
    pub(super) fn choose(
        &self,
        tier: usize,
        grade: MemberGrade,
        rng: &mut impl Rng,
    ) -> Option<BackendKey> {
        let members = &self.pool.tiers[tier];
        if members.is_empty() {
            return None;
        }
        let mut found = self.sample(members, grade, rng);
        if found.is_empty() {
            found = self.walk(members, grade, rng);
        }
        found
            .into_iter()
            .min_by(|&a, &b| self.score(a).total_cmp(&self.score(b)))
    }

    fn sample(&self, members: &[u32], grade: MemberGrade, rng: &mut impl Rng) -> FoundMembers {
        let mut found = FoundMembers::new();
        for _ in 0..DRAWS {
            let index = members[rng.random_range(0..members.len())];
            let share = self.share(index, grade);
            let taken = share >= 1.0 || rng.random_bool(share);
            let key = self.arena.key_at(index);
            if taken && !found.contains(&key) {
                found.push(key);
                if found.len() == CHOICES {
                    break;
                }
            }
        }
        found
    }

    /// Finds members in turn from a random start: draws miss when nearly all
    /// are unfit.
    fn walk(&self, members: &[u32], grade: MemberGrade, rng: &mut impl Rng) -> FoundMembers {
        let start = rng.random_range(0..members.len());
        let (after, before) = (&members[start..], &members[..start]);
        let all = after.iter().chain(before).copied().take(WALK_MAX);
        let full = all.filter(|&index| self.share(index, grade) >= 1.0);
        full.take(CHOICES)
            .map(|index| self.arena.key_at(index))
            .collect()
    }

    /// Returns the share of draws a member takes part in, 0 when unfit.
    fn share(&self, index: u32, grade: MemberGrade) -> f64 {
        let Some(slot) = self.arena.at(index) else {
            return 0.0;
        };
        let fit = slot.evidence.grade(self.now) <= grade;
        if !fit || self.exclude.contains(&self.arena.key_at(index)) {
            0.0
        } else if grade == MemberGrade::Fit {
            slot.share(self.now)
        } else {
            1.0
        }
    }

    fn score(&self, key: BackendKey) -> f64 {
        let typical = self.pool.typical();
        self.arena
            .get(key)
            .map_or(f64::INFINITY, |slot| slot.evidence.score(self.now, typical))
    }
}
