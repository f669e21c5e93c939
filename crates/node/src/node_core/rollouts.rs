//! State of rollouts at this node, and what follows from it for requests.

use std::collections::BTreeSet;

use rand::RngExt;
use slog::{error, info};
use smallvec::SmallVec;

use super::NodeCore;
use crate::{
    member::{EndpointVersion, FleetView, MemberKey, VersionFilter},
    rollout::{RolloutOrder, RolloutPhase, RolloutRecord, SplitDecision, first_targets},
    store::{Revision, StoreItem},
};

/// Members that one try of a request may go to, as rollouts restrict them.
#[derive(Debug, Clone, Default)]
pub struct VersionPlan {
    excluded: SmallVec<[EndpointVersion; 1]>,
    only: Option<Vec<MemberKey>>,
    /// Whether the try goes to a version that is on trial.
    pub is_trial: bool,
}

impl VersionPlan {
    /// Returns the plan as a filter for picks.
    pub fn filter(&self) -> VersionFilter<'_> {
        VersionFilter {
            excluded: &self.excluded,
            only: self.only.as_deref(),
        }
    }

    fn without(version: &EndpointVersion) -> Self {
        Self {
            excluded: SmallVec::from_iter([version.clone()]),
            ..Self::default()
        }
    }

    /// Returns a plan with only these members; none without members.
    fn among(members: Vec<MemberKey>) -> Option<Self> {
        let only = (!members.is_empty()).then_some(members)?;
        Some(Self {
            only: Some(only),
            ..Self::default()
        })
    }
}

impl NodeCore {
    /// Records the state of a rollout.
    ///
    /// `revision` is that of the record in the store, or 0 while the store doesn't hold it.
    pub fn record_rollout(&self, record: RolloutRecord, revision: Revision) {
        let state = record.clone();
        let changed = self.rollouts.borrow_mut().apply(record, revision);
        if !changed {
            return;
        }
        info!(self.log.logger(), "rollout state";
            "service" => &*state.service,
            "target" => %state.target,
            "phase" => %state.phase,
            "share" => state.share,
            "decided_by" => %state.decided_by,
            "reason" => &*state.reason,
            "revision" => revision.0);
        if state.phase.is_terminal() {
            self.splits.borrow_mut().remove(&state.service);
        }
        self.update_suspension();
        self.rollouts_changed.notify_one();
        self.watch_duty_changed.notify_waiters();
        self.update_arrived.notify_waiters();
    }

    /// Records the state of a rollout that was read from the store.
    pub fn record_rollout_item(&self, item: &StoreItem) {
        match serde_json::from_slice::<RolloutRecord>(&item.value) {
            Ok(record) => self.record_rollout(record, item.revision),
            Err(cause) => error!(self.log.logger(), "rollout record unreadable";
                "key" => &*item.key, "revision" => item.revision.0, "cause" => %cause),
        }
    }

    /// Records an operator's order of a rollout.
    ///
    /// An order for a service that the configuration doesn't name is recorded, too: the
    /// configuration may come after it.
    pub fn record_order(&self, order: RolloutOrder, revision: Revision) {
        let (service, target) = (order.service.clone(), order.target.clone());
        let duration_ms = order.duration.as_millis() as u64;
        let now = self.clock.now();
        let mut orders = self.orders.borrow_mut();
        orders.record_key(&service);
        if orders.record(now, order, revision) {
            info!(self.log.logger(), "rollout ordered";
                "service" => service,
                "target" => %target,
                "duration_ms" => duration_ms,
                "revision" => revision.0);
            self.rollouts_changed.notify_one();
        }
    }

    /// Records that an operator's order was deleted.
    pub fn remove_order(&self, service: &str) {
        info!(self.log.logger(), "rollout order deleted"; "service" => service);
        self.orders.borrow_mut().remove(service);
        self.rollouts_changed.notify_one();
    }

    /// Records that `services` are all that have an order in the store.
    pub fn record_order_list(&self, services: impl IntoIterator<Item = String>) {
        self.orders.borrow_mut().record_list(services);
        self.rollouts_changed.notify_one();
    }

    /// Forgets all orders, as this node doesn't watch them any more.
    pub fn forget_orders(&self) {
        if self.orders.borrow_mut().forget() {
            self.rollouts_changed.notify_one();
        }
    }

    /// Returns whether this node watches operators' keys in the store.
    ///
    /// A node that decides about a rollout watches them even if it takes its updates from a relay:
    /// relays don't send orders.
    pub fn watches_orders(&self) -> bool {
        let decides = || {
            let rollouts = self.rollouts.borrow();
            let mut decided = rollouts.decided_by(self.settings.peer_addr);
            decided.next().is_some()
        };
        self.watches_store() || (self.settings.has_rollouts && decides())
    }

    /// Begins or ends the refusal of requests for the local backend server, as its service's
    /// rollout demands.
    pub fn update_suspension(&self) {
        let (start, service, version) = {
            let tracker = self.inbound.tracker().borrow();
            let Some(current) = tracker.current() else {
                return;
            };
            let report = &current.report;
            (
                report.start.clone(),
                report.service.clone(),
                report.version.clone(),
            )
        };
        let rollouts = self.rollouts.borrow();
        let was_suspended = self.inbound.is_start_suspended(&start);
        let suspended = rollouts.suspends(&service, version.as_ref(), was_suspended);
        let rolled_back = rollouts
            .get(&service)
            .is_some_and(|record| record.phase == RolloutPhase::RolledBack);
        if self
            .inbound
            .suspend(suspended.then_some(start), rolled_back)
        {
            info!(self.log.logger(), "backend server suspended by a rollout";
                "suspended" => suspended,
                "service" => service,
                "version" => version.as_ref().map(EndpointVersion::as_str));
            self.announcement_changed.notify_one();
        }
    }

    /// Returns the members that the first try of a request may go to.
    pub fn plan_first_try(&self, service: &str, route_hash: u64) -> VersionPlan {
        let rollouts = self.rollouts.borrow();
        let record = rollouts.get(service);
        let Some(record) = record
            .filter(|record| matches!(record.phase, RolloutPhase::Canary | RolloutPhase::Ramp))
        else {
            drop(rollouts);
            return self.plan_retry(service);
        };
        let now = self.clock.now();
        let decision = {
            let mut splits = self.splits.borrow_mut();
            let split = splits.entry(service.to_owned()).or_default();
            split.decide(now, record.share, route_hash, rand::rng().random())
        };
        let fleet = self.fleet.borrow();
        let targets = || fleet.ready_members(service, &record.target);
        let members = match decision {
            SplitDecision::Current => Vec::new(),
            SplitDecision::FirstTargets => first_targets(targets(), record.share, record.first),
            SplitDecision::AnyTarget => targets().map(|(key, _)| key).collect(),
        };
        match VersionPlan::among(members) {
            Some(plan) => VersionPlan {
                is_trial: true,
                ..plan
            },
            None => VersionPlan::without(&record.target),
        }
    }

    /// Returns the members that a further try of a request may go to. None of them is on trial.
    pub fn plan_retry(&self, service: &str) -> VersionPlan {
        let rollouts = self.rollouts.borrow();
        let record = rollouts.get(service);
        let fleet = self.fleet.borrow();
        match record.map(|record| (record.phase, &record.target)) {
            None => self.plan_without_order(&fleet, service, None),
            Some((RolloutPhase::Completed, target)) => {
                self.plan_without_order(&fleet, service, Some(target))
            }
            Some((RolloutPhase::Drain, target)) => {
                let members = fleet.ready_members(service, target);
                VersionPlan::among(members.map(|(key, _)| key).collect()).unwrap_or_default()
            }
            Some((
                RolloutPhase::Ordered
                | RolloutPhase::Canary
                | RolloutPhase::Ramp
                | RolloutPhase::RolledBack,
                target,
            )) => VersionPlan::without(target),
        }
    }

    fn plan_without_order(
        &self,
        fleet: &FleetView,
        service: &str,
        in_force: Option<&EndpointVersion>,
    ) -> VersionPlan {
        if !self.settings.has_rollouts {
            return VersionPlan::default();
        }
        let unordered = fleet.unordered_versions(self.clock.now(), service, in_force);
        VersionPlan {
            excluded: unordered.into_iter().collect(),
            ..VersionPlan::default()
        }
    }

    /// Records the outcome of this node's own try at a version that is on trial.
    pub fn record_trial(&self, service: &str, failed: bool) {
        let now = self.clock.now();
        let mut splits = self.splits.borrow_mut();
        let split = splits.entry(service.to_owned()).or_default();
        if split.record_target(now, failed) {
            info!(self.log.logger(), "version on trial avoided";
                "service" => service, "cause" => "it failed requests of this node");
        }
    }

    /// Returns the position of this node's data centre among those known, from 0.
    pub fn data_centre_rank(&self) -> u32 {
        let fleet = self.fleet.borrow();
        let own = &self.settings.data_centre;
        let names: BTreeSet<&str> = fleet
            .records()
            .map(|record| &*record.data_centre)
            .filter(|name| *name < own.as_str())
            .collect();
        names.len() as u32
    }
}
