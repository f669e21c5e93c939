//! How a newcomer finds the fleet, and the seeds it finds it by.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use geranium_model::{DataCentre, InstanceName, MemberState};
use rand::{RngExt, seq::IndexedRandom};

use crate::{
    ControlMessage, FleetAction, FleetCore, FleetSettings, PlatformCall, SeedList,
    hash::mix,
    seed_list::{SEEDS_LISTED, placeholder_name},
};

/// Gap between attempts to join.
const JOIN_GAP: Duration = Duration::from_secs(1);
/// Seeds asked at each attempt.
const JOINS_AT_ONCE: usize = 3;
/// Time without a message after which a node tries to join anew.
const UNHEARD: Duration = Duration::from_secs(10);
/// Gap between reads of the seeds while a node is alone.
const READ_GAP: Duration = Duration::from_secs(4);
/// Gap between checks of the seeds by a data centre's first watcher.
const KEEP_GAP: Duration = Duration::from_secs(60);
/// Time after the start before the seeds are first checked.
const KEEP_FIRST: Duration = Duration::from_secs(10);
/// Addresses to join through that are remembered.
const CONTACTS_MAX: usize = 64;
/// Salt of the seeds' ranking.
const SEED_SALT: u64 = 0x7365_6564_6c69_7374;

/// Where to join, and when to try next.
#[derive(Debug, Default)]
pub(crate) struct JoinState {
    contacts: BTreeMap<SocketAddr, InstanceName>,
    next_join: Duration,
    next_read: Duration,
    next_keep: Option<Duration>,
    reads: usize,
}

impl JoinState {
    pub fn new(settings: &FleetSettings) -> Self {
        let seeds = settings.seeds.iter();
        let contacts = seeds.map(|addr| (*addr, placeholder_name(*addr)));
        Self {
            contacts: contacts.take(CONTACTS_MAX).collect(),
            ..Self::default()
        }
    }

    fn add(&mut self, name: &InstanceName, addr: SocketAddr) {
        if self.contacts.len() >= CONTACTS_MAX {
            self.contacts.pop_first();
        }
        self.contacts.insert(addr, name.clone());
    }
}

impl FleetCore {
    fn is_isolated(&self) -> bool {
        let heard = |at: Duration| self.now.saturating_sub(at) < UNHEARD;
        let members = self
            .peers
            .iter()
            .filter(|(name, _)| self.table.get(name).is_some());
        !members.map(|(_, peer)| peer.heard_at).any(heard)
    }

    /// Contacts seeds while no member answers.
    pub(crate) fn try_join(&mut self, out: &mut Vec<FleetAction>) {
        if self.now < self.join.next_join || !self.is_isolated() {
            return;
        }
        self.join.next_join = self.now + JOIN_GAP.mul_f64(self.rng.random_range(0.75..1.25));
        if self.now >= self.join.next_read {
            let gap = READ_GAP.mul_f64(self.rng.random_range(0.5..1.5));
            self.join.next_read = self.now + gap;
            self.read_seeds();
        }
        let contacts: Vec<_> = self.join.contacts.iter().collect();
        let contacts = contacts.sample(&mut self.rng, JOINS_AT_ONCE);
        let contacts: Vec<_> = contacts
            .map(|(addr, name)| (**addr, (*name).clone()))
            .collect();
        for (addr, name) in contacts {
            if addr != self.own.control_addr {
                self.send_to(name, addr, ControlMessage::Join(self.own.clone()), out);
            }
        }
    }

    /// Lines up a read of seeds: of the own data centre first, then of others.
    fn read_seeds(&mut self) {
        let others = &self.settings.data_centres;
        let others: Vec<_> = others
            .iter()
            .filter(|name| **name != self.own.data_centre)
            .collect();
        let turn = self.join.reads;
        self.join.reads += 1;
        let own_turn = turn.is_multiple_of(2) || others.is_empty();
        let data_centre = if own_turn {
            self.own.data_centre.clone()
        } else {
            others[turn / 2 % others.len()].clone()
        };
        self.desk.queue_first(PlatformCall::ReadSeeds(data_centre));
    }

    /// Lines up what keeps the seeds fresh and data centres joined.
    pub(crate) fn keep_seeds(&mut self) {
        let first = self.started_at + KEEP_FIRST.mul_f64(self.rng.random_range(0.5..1.5));
        let due = *self.join.next_keep.get_or_insert(first);
        if self.now < due {
            return;
        }
        self.join.next_keep = Some(self.now + KEEP_GAP.mul_f64(self.rng.random_range(0.5..1.5)));
        if self.watch_rank != Some(0) {
            return;
        }
        let own = self.own.data_centre.clone();
        self.desk.queue(PlatformCall::ReadSeeds(own.clone()));
        let mut rows = self.table.rows();
        let joined = rows.any(|row| row.data_centre != own);
        let others = self
            .settings
            .data_centres
            .iter()
            .filter(|name| **name != own);
        let others: Vec<_> = others.collect();
        if !joined && let Some(other) = others.choose(&mut self.rng) {
            self.desk.queue(PlatformCall::ReadSeeds((*other).clone()));
        }
    }

    pub(crate) fn on_seeds(
        &mut self,
        data_centre: &DataCentre,
        value: Option<&[u8]>,
        out: &mut Vec<FleetAction>,
    ) {
        let list = SeedList::parse(value.unwrap_or_default());
        let isolated = self.is_isolated();
        for (name, addr) in &list.seeds {
            if *addr == self.own.control_addr {
                continue;
            }
            self.join.add(name, *addr);
            // Another island of the fleet, perhaps: members join by any of it.
            if isolated || self.table.get(name).is_none() {
                self.send_to(
                    name.clone(),
                    *addr,
                    ControlMessage::Join(self.own.clone()),
                    out,
                );
            }
        }
        if *data_centre == self.own.data_centre && self.watch_rank == Some(0) {
            self.refresh_seeds(&list);
        }
    }

    /// Lines up a write when too few of the listed seeds are still there.
    fn refresh_seeds(&mut self, listed: &SeedList) {
        let own = &self.own.data_centre;
        let entries = self.table.entries();
        let mut ranked: Vec<_> = entries
            .filter(|entry| entry.row.data_centre == *own)
            .filter(|entry| entry.row.state < MemberState::Suspect)
            .map(|entry| (mix(entry.key ^ SEED_SALT), &entry.row))
            .collect();
        ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        ranked.truncate(SEEDS_LISTED);
        let present = listed.seeds.iter().filter(|(name, addr)| {
            let row = self.table.get(name);
            row.is_some_and(|row| row.state < MemberState::Suspect && row.control_addr == *addr)
        });
        let enough = 2 * present.count() > ranked.len();
        if enough {
            return;
        }
        let seeds = ranked
            .iter()
            .map(|(_, row)| (row.instance.clone(), row.control_addr));
        let list = SeedList {
            seeds: seeds.collect(),
        };
        let data_centre = own.clone();
        let value = list.to_bytes();
        self.desk
            .queue(PlatformCall::WriteSeeds { data_centre, value });
    }
}
