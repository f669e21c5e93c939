//! The picker itself.

use std::{collections::HashMap, time::Duration};

use geranium_model::{InstanceName, MemberRow, ResultCode, ServiceName};
use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::{
    backend_key::BackendKey,
    backend_slot::{BackendSlot, PoolPlace},
    ejection_state::EjectionCause,
    member_grade::MemberGrade,
    pick_report::{PickReport, PickResult},
    picker_home::{PickerHome, TIERS},
    service_pool::ServicePool,
};

/// Members compared for a pick: two random choices take nearly all of the
/// gain over one, and more would send every node to the same best member.
const CHOICES: usize = 2;
/// Random draws before the members are walked through in turn.
const DRAWS: usize = 6;
/// Members whose median stands for the neighbours' latency.
const MEDIAN_MEMBERS: usize = 32;
/// Members of a service that may be ejected as slow: one in this many. The
/// others then bear half as much again at most.
const SLOW_EJECTED_DIVISOR: usize = 3;
/// The same for breaking ones, which answer nothing anyhow.
const BREAKING_EJECTED_DIVISOR: usize = 2;
/// Pressure above which a slow member is kept: its capacity is needed.
const PRESSURE_KEEP: f64 = 0.2;
/// Load the remaining members may have after an ejection.
const LOAD_AFTER_MAX: f64 = 0.9;

#[derive(Debug, Default)]
struct ArenaPlace {
    generation: u32,
    slot: Option<BackendSlot>,
}

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
    arena: Vec<ArenaPlace>,
    free: Vec<u32>,
    keys: HashMap<InstanceName, BackendKey>,
    pools: Vec<ServicePool>,
    pool_indices: HashMap<ServiceName, u32>,
}

impl BackendPicker {
    /// Makes a picker for a node at `home` that knows no member.
    pub fn new(home: PickerHome) -> Self {
        Self {
            home,
            arena: Vec::new(),
            free: Vec::new(),
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
        let Some(slot) = self.slot_mut(key) else {
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
        let Some(key) = self.keys.remove(instance) else {
            return;
        };
        self.unsettle(key);
        let place = &mut self.arena[key.index as usize];
        place.slot = None;
        place.generation = place.generation.wrapping_add(1);
        self.free.push(key.index);
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
        let first = pool.first_tier(now, rng);
        for grade in MemberGrade::ALL {
            let rest = (0..TIERS).filter(|&tier| tier != first);
            for tier in std::iter::once(first).chain(rest) {
                let draw = MemberDraw {
                    now,
                    grade,
                    exclude,
                };
                if let Some(key) = self.choose(pool, tier, &draw, rng) {
                    return Ok(key);
                }
            }
        }
        Err(ResultCode::NoBackend)
    }

    /// Notes that a request goes to `key`.
    pub fn sent(&mut self, now: Duration, key: BackendKey) {
        if let Some(slot) = self.slot_mut(key) {
            slot.evidence.sent(now);
        }
    }

    /// Takes in what became of a request sent to `key`.
    ///
    /// Every [`BackendPicker::sent`] needs one call of this.
    pub fn done(&mut self, now: Duration, key: BackendKey, report: PickReport) {
        let Some(slot) = self.slot_mut(key) else {
            return;
        };
        let probed = slot.evidence.ejection.probing();
        slot.evidence.done(now, report);
        if let Some(place) = slot.place {
            self.note_pool(now, place, report);
            self.judge(now, key, place, report, probed);
        }
    }

    /// Returns the row of `key`, unless it was removed.
    pub fn row(&self, key: BackendKey) -> Option<&MemberRow> {
        self.slot(key).map(|slot| &slot.row)
    }

    /// Returns the key of `instance`, if known.
    pub fn key_of(&self, instance: &InstanceName) -> Option<BackendKey> {
        self.keys.get(instance).copied()
    }

    fn slot(&self, key: BackendKey) -> Option<&BackendSlot> {
        let place = self.arena.get(key.index as usize)?;
        let current = place.generation == key.generation;
        place.slot.as_ref().filter(|_| current)
    }

    fn slot_mut(&mut self, key: BackendKey) -> Option<&mut BackendSlot> {
        let place = self.arena.get_mut(key.index as usize)?;
        let current = place.generation == key.generation;
        place.slot.as_mut().filter(|_| current)
    }

    fn insert(&mut self, now: Duration, row: &MemberRow) -> BackendKey {
        let index = self.free.pop().unwrap_or_else(|| {
            self.arena.push(ArenaPlace::default());
            self.arena.len() as u32 - 1
        });
        let place = &mut self.arena[index as usize];
        place.slot = Some(BackendSlot::new(now, row.clone()));
        let key = BackendKey {
            index,
            generation: place.generation,
        };
        self.keys.insert(row.instance.clone(), key);
        key
    }

    /// Moves a member to the pool and distance that its row names.
    fn settle(&mut self, key: BackendKey) {
        let Some(slot) = self.slot(key) else {
            return;
        };
        let tier = self.home.tier_of(&slot.row);
        let takes_work = slot.row.state.takes_work();
        let service = slot.row.service.clone().filter(|_| takes_work);
        let wanted = service.map(|service| PoolPlace {
            pool: self.pool_of(&service),
            tier,
        });
        if self.slot(key).and_then(|slot| slot.place) == wanted {
            return;
        }
        self.unsettle(key);
        if let Some(place) = wanted {
            self.pools[place.pool as usize].tiers[place.tier].push(key.index);
            if let Some(slot) = self.slot_mut(key) {
                slot.place = wanted;
            }
        }
    }

    fn unsettle(&mut self, key: BackendKey) {
        let place = self.slot_mut(key).and_then(|slot| slot.place.take());
        if let Some(place) = place {
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

    /// Takes the better of two members of one distance.
    fn choose(
        &self,
        pool: &ServicePool,
        tier: usize,
        draw: &MemberDraw<'_>,
        rng: &mut impl Rng,
    ) -> Option<BackendKey> {
        let members = &pool.tiers[tier];
        if members.is_empty() {
            return None;
        }
        let mut found = SmallVec::<[BackendKey; CHOICES]>::new();
        for _ in 0..DRAWS {
            let index = members[rng.random_range(0..members.len())];
            let share = self.suits(index, draw);
            let fresh = share > 0.0 && !found.contains(&self.key_at(index));
            if fresh && (share >= 1.0 || rng.random_bool(share)) {
                found.push(self.key_at(index));
                if found.len() == CHOICES {
                    break;
                }
            }
        }
        if found.is_empty() {
            self.walk(members, draw, rng, &mut found);
        }
        let typical = pool.typical();
        let score = |key: BackendKey| {
            self.slot(key)
                .map_or(f64::INFINITY, |slot| slot.evidence.score(draw.now, typical))
        };
        found
            .into_iter()
            .min_by(|&a, &b| score(a).total_cmp(&score(b)))
    }

    /// Finds members in turn from a random start, cold ones included: draws
    /// miss when nearly all are unfit or cold.
    fn walk(
        &self,
        members: &[u32],
        draw: &MemberDraw<'_>,
        rng: &mut impl Rng,
        found: &mut SmallVec<[BackendKey; CHOICES]>,
    ) {
        let start = rng.random_range(0..members.len());
        let (after, before) = (&members[start..], &members[..start]);
        let fit = after.iter().chain(before).copied();
        let fit = fit.filter(|&index| self.suits(index, draw) > 0.0);
        found.extend(fit.take(CHOICES).map(|index| self.key_at(index)));
    }

    fn key_at(&self, index: u32) -> BackendKey {
        BackendKey {
            index,
            generation: self.arena[index as usize].generation,
        }
    }

    /// Returns the share of draws a member takes part in, 0 when unfit.
    fn suits(&self, index: u32, draw: &MemberDraw<'_>) -> f64 {
        let Some(slot) = &self.arena[index as usize].slot else {
            return 0.0;
        };
        let fit = slot.evidence.grade(draw.now) <= draw.grade;
        if !fit || draw.exclude.contains(&self.key_at(index)) {
            return 0.0;
        }
        slot.share(draw.now)
    }

    fn note_pool(&mut self, now: Duration, place: PoolPlace, report: PickReport) {
        let pool = &mut self.pools[place.pool as usize];
        match report.result {
            PickResult::Answered => {
                pool.latency.observe(report.latency);
                pool.pressure[place.tier].answered(now, report.latency);
            }
            PickResult::Refused { .. } => pool.pressure[place.tier].refused(now),
            PickResult::Broke | PickResult::Unreachable | PickResult::TimedOut => {}
        }
    }

    /// Ejects or reinstates a member on the evidence of one result.
    fn judge(
        &mut self,
        now: Duration,
        key: BackendKey,
        place: PoolPlace,
        report: PickReport,
        probed: bool,
    ) {
        let median_log = self.median_log(place, key);
        let Some(slot) = self.slot_mut(key) else {
            return;
        };
        let evidence = &mut slot.evidence;
        if let Some(cause) = evidence.ejection.cause() {
            let answered = report.result == PickResult::Answered;
            let refused = matches!(report.result, PickResult::Refused { .. });
            let in_range = median_log.is_none_or(|log| evidence.mended(report.latency, log));
            if !probed {
                return;
            }
            if answered && in_range {
                evidence.reinstate(now);
                slot.cold_since = now;
            } else if !refused {
                evidence.ejection.eject(now, cause);
            }
            return;
        }
        let breaking = evidence.breaking();
        let lagging = median_log.is_some_and(|log| evidence.slow(log));
        if breaking && self.spares(now, place, EjectionCause::Breaking) {
            self.eject(now, key, EjectionCause::Breaking);
        } else if lagging && self.spares(now, place, EjectionCause::Slow) {
            self.eject(now, key, EjectionCause::Slow);
        }
    }

    fn eject(&mut self, now: Duration, key: BackendKey, cause: EjectionCause) {
        if let Some(slot) = self.slot_mut(key) {
            slot.evidence.ejection.eject(now, cause);
        }
    }

    /// Returns the median latency of the neighbours, as a logarithm.
    fn median_log(&self, place: PoolPlace, but: BackendKey) -> Option<f64> {
        let pool = &self.pools[place.pool as usize];
        let members = pool
            .tiers
            .iter()
            .flatten()
            .filter(|&&index| index != but.index);
        let mut logs: SmallVec<[f64; MEDIAN_MEMBERS]> = members
            .filter_map(|&index| self.arena[index as usize].slot.as_ref())
            .filter(|slot| slot.evidence.latency.samples() > 0)
            .map(|slot| slot.evidence.latency.mean_log())
            .take(MEDIAN_MEMBERS)
            .collect();
        if logs.is_empty() {
            return None;
        }
        logs.sort_unstable_by(f64::total_cmp);
        Some(logs[logs.len() / 2])
    }

    /// Reports whether the service can do without one more member.
    ///
    /// Guards against an ejection that empties a service or overloads the
    /// rest, which shows as one ejection after another: the ejected share is
    /// capped, and a slow member stays while its capacity is needed.
    fn spares(&self, now: Duration, place: PoolPlace, cause: EjectionCause) -> bool {
        let pool = &self.pools[place.pool as usize];
        let slots = pool.tiers.iter().flatten();
        let slots = slots.filter_map(|&index| self.arena[index as usize].slot.as_ref());
        let ejected = |slot: &&BackendSlot| slot.evidence.ejection.cause().is_some();
        let out = slots.clone().filter(ejected).count() + 1;
        if cause == EjectionCause::Breaking {
            return out <= pool.len() / BREAKING_EJECTED_DIVISOR;
        }
        let pressed = pool.pressure[place.tier].value(now) > PRESSURE_KEEP;
        if pressed || out > pool.len() / SLOW_EJECTED_DIVISOR {
            return false;
        }
        let claims: SmallVec<[f64; MEDIAN_MEMBERS]> = slots
            .filter(|slot| !ejected(slot))
            .filter_map(|slot| slot.evidence.hint.share(now))
            .collect();
        let load = claims.iter().sum::<f64>() / claims.len().max(1) as f64;
        let left = pool.len() - out;
        load * (left + 1) as f64 / left as f64 <= LOAD_AFTER_MAX
    }
}

/// What a draw accepts.
struct MemberDraw<'a> {
    now: Duration,
    grade: MemberGrade,
    exclude: &'a [BackendKey],
}
