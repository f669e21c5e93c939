//! Node that may own a shard.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use xxhash_rust::xxh3::xxh3_64;

use super::SHARD_COUNT;
use crate::member::{MemberRecord, MemberState};

/// Node that may own a shard, as other nodes know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardCandidate {
    /// Address at which other nodes reach it.
    pub at: SocketAddr,
    /// Position of its data centre among all known ones.
    pub centre: u32,
    /// Position among the nodes of its data centre; the relay comes first.
    pub position: u32,
    /// Whether it has announced that it leaves. Such a node claims nothing.
    pub is_leaving: bool,
}

impl ShardCandidate {
    /// Returns the candidates among the announced members: as many nodes of each data centre as
    /// there are shards, and all that leave, as these may still own shards.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::quota::ShardCandidate;
    ///
    /// assert!(ShardCandidate::of_members([]).is_empty());
    /// ```
    pub fn of_members<'a>(members: impl IntoIterator<Item = &'a MemberRecord>) -> Vec<Self> {
        let mut centres: BTreeMap<&str, Vec<&MemberRecord>> = BTreeMap::new();
        for member in members {
            centres.entry(&member.data_centre).or_default().push(member);
        }
        let candidates = centres.into_values().zip(0..);
        let candidates = candidates.flat_map(|(members, centre)| Self::of_centre(members, centre));
        candidates.collect()
    }

    fn of_centre(mut members: Vec<&MemberRecord>, centre: u32) -> impl Iterator<Item = Self> {
        members.sort_by_cached_key(|member| {
            let hash = xxh3_64(member.peer_addr.to_string().as_bytes());
            (
                member.state == MemberState::Leaving,
                Reverse(member.link_mbps),
                hash,
            )
        });
        let candidates = members
            .into_iter()
            .zip(0..)
            .map(move |(member, position)| Self {
                at: member.peer_addr,
                centre,
                position,
                is_leaving: member.state == MemberState::Leaving,
            });
        candidates
            .filter(|candidate| candidate.is_leaving || (candidate.position as usize) < SHARD_COUNT)
    }
}
