//! Judgement over slow and breaking members.

use std::time::Duration;

use smallvec::SmallVec;

use super::{
    backend_arena::BackendArena,
    backend_key::BackendKey,
    backend_slot::{BackendSlot, PoolPlace},
    ejection_state::EjectionCause,
    pick_report::{PickReport, PickResult},
    service_pool::ServicePool,
};

/// Members whose median stands for the neighbours' latency.
const MEDIAN_MEMBERS: usize = 32;
/// Members of a service that may be ejected as slow: one in this many. The
/// others then bear half as much again at most.
const SLOW_EJECTED_DIVISOR: usize = 3;
/// The same for breaking ones, which answer nothing anyhow.
const BREAKING_EJECTED_DIVISOR: usize = 2;
/// Distance above the service's usual latency from which the neighbours are
/// looked at; it saves the look for the rest.
const LOOK_LOG: f64 = 0.3;

/// Judges one member by one result.
#[derive(Debug)]
pub(super) struct EjectionJudge<'a> {
    pub(super) now: Duration,
    pub(super) pool: &'a ServicePool,
    pub(super) place: PoolPlace,
}

impl EjectionJudge<'_> {
    /// Ejects a member that is slow or breaking, if the service can spare it.
    pub(super) fn try_eject(&self, arena: &mut BackendArena, key: BackendKey) {
        let Some(slot) = arena.get(key) else {
            return;
        };
        let cause = if slot.evidence.breaking() {
            EjectionCause::Breaking
        } else if self.is_slow(arena, key, slot) {
            EjectionCause::Slow
        } else {
            return;
        };
        if !self.spares(arena, cause) {
            return;
        }
        if let Some(slot) = arena.get_mut(key) {
            slot.evidence.ejection.eject(self.now, cause);
        }
    }

    /// Puts a member back, or out for longer, by the result of its probe.
    pub(super) fn end_probe(&self, arena: &mut BackendArena, key: BackendKey, report: PickReport) {
        let median_log = self.median_log(arena, key);
        let Some(slot) = arena.get_mut(key) else {
            return;
        };
        let evidence = &mut slot.evidence;
        let Some(cause) = evidence.ejection.cause() else {
            return;
        };
        let in_range = median_log.is_none_or(|log| evidence.mended(report.latency, log));
        match report.result {
            PickResult::Answered if in_range => {
                evidence.reinstate(self.now);
                slot.cold_since = self.now;
            }
            // Neither says anything about speed or soundness: probe again.
            PickResult::Refused { .. } | PickResult::Abandoned => evidence.ejection.probe_again(),
            _ => evidence.ejection.eject(self.now, cause),
        }
    }

    fn is_slow(&self, arena: &BackendArena, key: BackendKey, slot: &BackendSlot) -> bool {
        let usual = self.pool.latency.mean_log();
        let worth_a_look = slot.evidence.latency.mean_log() > usual + LOOK_LOG;
        let median_log = worth_a_look.then(|| self.median_log(arena, key)).flatten();
        median_log.is_some_and(|log| slot.evidence.slow(log))
    }

    /// Returns the median latency of the neighbours, as a logarithm.
    ///
    /// Neighbours are the others at the same distance, if any has answered,
    /// else all others. A saturated data centre is slower than an idle one
    /// farther away; that is for the pressure to mend, and ejecting its
    /// members would take away the capacity it lacks.
    fn median_log(&self, arena: &BackendArena, but: BackendKey) -> Option<f64> {
        let near = &self.pool.tiers[self.place.tier];
        median_of(arena, near.iter().copied(), but)
            .or_else(|| median_of(arena, self.pool.members(), but))
    }

    /// Reports whether the service can do without one more member.
    ///
    /// Guards against an ejection that empties a service or overloads the
    /// rest, which shows as one ejection after another: the ejected share is
    /// capped, and when the rest refuses, picks fall back to slow members.
    fn spares(&self, arena: &BackendArena, cause: EjectionCause) -> bool {
        let slots = self.pool.members().filter_map(|index| arena.at(index));
        let ejected = slots.filter(|slot| slot.evidence.ejection.cause().is_some());
        let out = ejected.count() + 1;
        let divisor = match cause {
            EjectionCause::Slow => SLOW_EJECTED_DIVISOR,
            EjectionCause::Breaking => BREAKING_EJECTED_DIVISOR,
        };
        out <= self.pool.len() / divisor
    }
}

fn median_of(
    arena: &BackendArena,
    members: impl Iterator<Item = u32>,
    but: BackendKey,
) -> Option<f64> {
    let mut logs: SmallVec<[f64; MEDIAN_MEMBERS]> = members
        .filter(|&index| index != but.index)
        .filter_map(|index| arena.at(index))
        .map(|slot| slot.evidence.latency)
        .filter(|latency| latency.samples() > 0)
        .map(|latency| latency.mean_log())
        .take(MEDIAN_MEMBERS)
        .collect();
    logs.sort_unstable_by(f64::total_cmp);
    logs.get(logs.len() / 2).copied()
}
