//! The picker itself.

use std::{collections::HashMap, time::Duration};

use geranium_model::{InstanceName, MemberRow, ResultCode, ServiceName};
use rand::Rng;

use super::{
    backend_arena::BackendArena,
    backend_key::BackendKey,
    backend_slot::PoolPlace,
    ejection_judge::EjectionJudge,
    member_draw::MemberDraw,
    member_grade::MemberGrade,
    pick_report::{PickReport, PickResult},
    picker_home::{PickerHome, TIERS},
    service_pool::ServicePool,
};

/// Picks the backend server for each request of one node.
///
/// A pick looks at two members, whatever their number.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_decisions::picking::{BackendPicker, PickReport, PickResult, PickerHome};
/// use geranium_model::{Incarnation, MemberRow, MemberState};
///
/// let addr = "127.0.0.1:1".parse()?;
/// let row = MemberRow {
///     instance: "till-1".parse()?,
///     incarnation: Incarnation::new(1),
///     started: Incarnation::new(1),
///     state: MemberState::Live,
///     service: Some("verdskra".parse()?),
///     data_centre: "hofdi".parse()?,
///     region: "reykjavik".parse()?,
///     control_addr: addr,
///     data_addr: addr,
///     admin_addr: addr,
///     slots: 12,
/// };
/// let home = PickerHome { data_centre: "hofdi".parse()?, region: "reykjavik".parse()? };
/// let mut picker = BackendPicker::new(home);
/// let key = picker.upsert(Duration::ZERO, &row);
/// let service = "verdskra".parse()?;
/// let picked = picker.pick(Duration::ZERO, &service, &[], &mut rand::rng());
/// assert_eq!(picked, Ok(key));
/// picker.sent(Duration::ZERO, key);
/// let report = PickReport {
///     latency: Duration::from_millis(3),
///     result: PickResult::Answered,
///     load: None,
/// };
/// picker.done(Duration::from_millis(3), key, report);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct BackendPicker {
    home: PickerHome,
    arena: BackendArena,
    keys: HashMap<InstanceName, BackendKey>,
    pools: Vec<ServicePool>,
    pool_indices: HashMap<ServiceName, u32>,
}

impl BackendPicker {
    /// Makes a picker for a node at `home` that knows no member.
    pub fn new(home: PickerHome) -> Self {
        Self {
            home,
            arena: BackendArena::default(),
            keys: HashMap::new(),
            pools: Vec::new(),
            pool_indices: HashMap::new(),
        }
    }

    /// Takes in a member's row and returns its key.
    ///
    /// A row older than the one known is ignored. A new start or announcement
    /// begins a slow start and drops the evidence against the old process.
    pub fn upsert(&mut self, now: Duration, row: &MemberRow) -> BackendKey {
        let key = match self.keys.get(&row.instance) {
            Some(&key) => key,
            None => self.insert(now, row),
        };
        let Some(slot) = self.arena.get_mut(key) else {
            return key;
        };
        if !slot.row.supersedes(row) {
            slot.replace(now, row.clone());
            self.settle(key);
        }
        key
    }

    /// Forgets a member; its key stays invalid for good.
    pub fn remove(&mut self, instance: &InstanceName) {
        if let Some(key) = self.keys.remove(instance) {
            self.unsettle(key);
            self.arena.remove(key);
        }
    }

    /// Picks a backend server of `service` that isn't in `exclude`.
    ///
    /// # Errors
    ///
    /// [`ResultCode::NoBackend`] when no other member takes work.
    pub fn pick(
        &mut self,
        now: Duration,
        service: &ServiceName,
        exclude: &[BackendKey],
        rng: &mut impl Rng,
    ) -> Result<BackendKey, ResultCode> {
        let index = self.pool_indices.get(service);
        let pool = &self.pools[*index.ok_or(ResultCode::NoBackend)? as usize];
        let draw = MemberDraw {
            now,
            arena: &self.arena,
            pool,
            exclude,
        };
        let first = pool.first_tier(now, rng);
        for grade in MemberGrade::ALL {
            let others = (0..TIERS).filter(|&tier| tier != first);
            for tier in std::iter::once(first).chain(others) {
                if let Some(key) = draw.choose(tier, grade, rng) {
                    return Ok(key);
                }
            }
        }
        Err(ResultCode::NoBackend)
    }

    /// Notes that a request goes to `key`.
    pub fn sent(&mut self, now: Duration, key: BackendKey) {
        if let Some(slot) = self.arena.get_mut(key) {
            slot.evidence.sent(now);
        }
    }

    /// Takes in what became of a request sent to `key`.
    ///
    /// Every [`BackendPicker::sent`] needs one call of this.
    pub fn done(&mut self, now: Duration, key: BackendKey, report: PickReport) {
        let Some(slot) = self.arena.get_mut(key) else {
            return;
        };
        slot.evidence.done(now, report);
        let ejection = slot.evidence.ejection;
        let Some(place) = slot.place else {
            return;
        };
        let pool = &mut self.pools[place.pool as usize];
        match report.result {
            PickResult::Answered => {
                pool.latency.observe(report.latency);
                pool.pressure[place.tier].answered(now, report.latency);
            }
            PickResult::Refused { .. } => pool.pressure[place.tier].refused(now),
            PickResult::Broke
            | PickResult::Unreachable
            | PickResult::TimedOut
            | PickResult::Abandoned => {}
        }
        let judge = EjectionJudge { now, pool, place };
        if ejection.ends_probe(now, report.latency) {
            judge.end_probe(&mut self.arena, key, report);
        } else if ejection.cause().is_none() {
            judge.try_eject(&mut self.arena, key);
        }
    }

    /// Returns the row of `key`, unless it was removed.
    pub fn row(&self, key: BackendKey) -> Option<&MemberRow> {
        self.arena.get(key).map(|slot| &slot.row)
    }

    /// Returns the key of `instance`, if known.
    pub fn key_of(&self, instance: &InstanceName) -> Option<BackendKey> {
        self.keys.get(instance).copied()
    }

    fn insert(&mut self, now: Duration, row: &MemberRow) -> BackendKey {
        let key = self.arena.insert(now, row);
        self.keys.insert(row.instance.clone(), key);
        key
    }

    /// Moves a member to the pool and distance that its row names.
    fn settle(&mut self, key: BackendKey) {
        let wanted = self.place_for(key);
        if self.arena.get(key).and_then(|slot| slot.place) == wanted {
            return;
        }
        self.unsettle(key);
        if let Some(place) = wanted {
            self.pools[place.pool as usize].tiers[place.tier].push(key.index);
        }
        if let Some(slot) = self.arena.get_mut(key) {
            slot.place = wanted;
        }
    }

    /// Returns where a member belongs; nowhere when it takes no work.
    fn place_for(&mut self, key: BackendKey) -> Option<PoolPlace> {
        let row = &self.arena.get(key)?.row;
        let tier = self.home.tier_of(row);
        let service = row.service.clone().filter(|_| row.state.takes_work())?;
        let pool = self.pool_of(&service);
        Some(PoolPlace { pool, tier })
    }

    fn unsettle(&mut self, key: BackendKey) {
        let slot = self.arena.get_mut(key);
        if let Some(place) = slot.and_then(|slot| slot.place.take()) {
            let members = &mut self.pools[place.pool as usize].tiers[place.tier];
            members.retain(|&index| index != key.index);
        }
    }

    fn pool_of(&mut self, service: &ServiceName) -> u32 {
        if let Some(&index) = self.pool_indices.get(service) {
            return index;
        }
        let index = self.pools.len() as u32;
        self.pools.push(ServicePool::default());
        self.pool_indices.insert(service.clone(), index);
        index
    }
}
