//! What each caller or key holds, and what it was charged.
//!
//! Load pattern: one caller sends nine tenths of the traffic, or many callers
//! ask for one key.
//!
//! Without it: first come, first served gives that caller nine tenths of the
//! slots and all of the queue, and the others wait behind it.
//!
//! Grounds: a ledger forgets a party that holds nothing and owes nothing, so it
//! grows with what the queue and the slots hold, not with the callers there
//! are. `SWEEP_SLACK` of 64, the default queue, keeps sweeps away from small
//! ledgers; doubling past it makes their cost constant for each offer.

use std::collections::HashMap;

use super::name_hasher::NameState;

const SWEEP_SLACK: usize = 64;

/// Place of a caller or key in its ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PartyKey(u32);

#[derive(Debug, Clone, Copy, Default)]
struct Party {
    waiting: u32,
    running: u32,
    /// Virtual time up to which its work was charged.
    charged_to: u64,
}

/// Ledger of the callers, or of the keys, in one lane.
#[derive(Debug, Default)]
pub(super) struct ShareLedger {
    parties: Vec<Party>,
    free: Vec<PartyKey>,
    by_name: HashMap<u64, PartyKey, NameState>,
    /// Parties that wait or run.
    active: u32,
    /// Parties by how many jobs they have waiting; index 0 is unused.
    by_waiting: Vec<u32>,
    most_waiting: usize,
    sweep_at: usize,
}

impl ShareLedger {
    /// Finds or adds the party called `name`.
    pub fn enroll(&mut self, name: u64, virtual_time: u64) -> PartyKey {
        if let Some(key) = self.by_name.get(&name) {
            return *key;
        }
        if self.by_name.len() >= self.sweep_at {
            self.sweep(virtual_time);
        }
        let party = Party {
            charged_to: virtual_time,
            ..Party::default()
        };
        let key = if let Some(key) = self.free.pop() {
            self.parties[key.0 as usize] = party;
            key
        } else {
            self.parties.push(party);
            PartyKey(self.parties.len() as u32 - 1)
        };
        self.by_name.insert(name, key);
        key
    }

    /// Returns the virtual time at which the party's next job starts.
    pub fn start_tag(&self, key: PartyKey, virtual_time: u64) -> u64 {
        self.party(key).charged_to.max(virtual_time)
    }

    /// Charges the party for a job that starts at its start tag, and returns
    /// the virtual time up to which it is charged.
    pub fn charge(&mut self, key: PartyKey, cost: u64, virtual_time: u64) -> u64 {
        let charged_to = self.start_tag(key, virtual_time) + cost;
        self.party_mut(key).charged_to = charged_to;
        charged_to
    }

    /// Takes a charge back, because the job won't run.
    pub fn refund(&mut self, key: PartyKey, cost: u64) {
        let party = self.party_mut(key);
        party.charged_to = party.charged_to.saturating_sub(cost);
    }

    /// Replaces the expected cost of a job by what it took, and returns the
    /// virtual time up to which the party is charged.
    pub fn settle(&mut self, key: PartyKey, charged: u64, spent: u64) -> u64 {
        let party = self.party_mut(key);
        party.charged_to = (party.charged_to + spent).saturating_sub(charged);
        party.charged_to
    }

    pub fn begin_wait(&mut self, key: PartyKey) {
        self.shift_waiting(key, 1);
    }

    pub fn end_wait(&mut self, key: PartyKey) {
        self.shift_waiting(key, -1);
    }

    pub fn begin_run(&mut self, key: PartyKey) {
        self.activate(key);
        self.party_mut(key).running += 1;
    }

    pub fn end_run(&mut self, key: PartyKey) {
        self.party_mut(key).running -= 1;
        self.deactivate(key);
    }

    pub fn waiting(&self, key: PartyKey) -> usize {
        self.party(key).waiting as usize
    }

    pub fn running(&self, key: PartyKey) -> u32 {
        self.party(key).running
    }

    /// Returns how many jobs the party with most of them has waiting.
    pub fn most_waiting(&self) -> usize {
        self.most_waiting
    }

    /// Returns what the newcomer would hold, times those who share, for
    /// comparison with the number of places.
    pub fn claim(&self, newcomer: Option<PartyKey>, sharers: usize) -> usize {
        newcomer.map_or(0, |key| (self.waiting(key) + 1) * sharers)
    }

    /// Reports whether no party has more jobs waiting.
    pub fn holds_most(&self, key: PartyKey) -> bool {
        self.waiting(key) == self.most_waiting
    }

    /// Counts the parties that wait or run, and the newcomer.
    pub fn sharers(&self, newcomer: Option<PartyKey>) -> usize {
        let joins = newcomer.is_some_and(|key| self.is_idle(key));
        self.active as usize + usize::from(joins)
    }

    fn is_idle(&self, key: PartyKey) -> bool {
        let party = self.party(key);
        party.waiting == 0 && party.running == 0
    }

    fn shift_waiting(&mut self, key: PartyKey, step: i32) {
        if step > 0 {
            self.activate(key);
        }
        let before = self.waiting(key);
        let after = before.saturating_add_signed(step as isize);
        self.party_mut(key).waiting = after as u32;
        if self.by_waiting.len() <= after {
            self.by_waiting.resize(after + 1, 0);
        }
        if before > 0 {
            self.by_waiting[before] -= 1;
        }
        if after > 0 {
            self.by_waiting[after] += 1;
        }
        self.most_waiting = self.most_waiting.max(after);
        if self.most_waiting > 0 && self.by_waiting[self.most_waiting] == 0 {
            self.most_waiting -= 1;
        }
        if step < 0 {
            self.deactivate(key);
        }
    }

    fn activate(&mut self, key: PartyKey) {
        if self.is_idle(key) {
            self.active += 1;
        }
    }

    fn deactivate(&mut self, key: PartyKey) {
        if self.is_idle(key) {
            self.active -= 1;
        }
    }

    /// Forgets parties that hold nothing and are charged up to no later than
    /// `virtual_time`: they would start afresh just so.
    fn sweep(&mut self, virtual_time: u64) {
        let Self {
            parties,
            free,
            by_name,
            ..
        } = self;
        by_name.retain(|_, key| {
            let party = parties[key.0 as usize];
            let held = party.waiting > 0 || party.running > 0;
            let keep = held || party.charged_to > virtual_time;
            if !keep {
                free.push(*key);
            }
            keep
        });
        self.sweep_at = 2 * self.by_name.len() + SWEEP_SLACK;
    }

    fn party(&self, key: PartyKey) -> &Party {
        &self.parties[key.0 as usize]
    }

    fn party_mut(&mut self, key: PartyKey) -> &mut Party {
        &mut self.parties[key.0 as usize]
    }
}
