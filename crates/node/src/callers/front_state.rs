//! What the callers' thread routes by.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    sync::Arc,
    time::{Duration, Instant},
};

use crossbeam::channel::{Receiver, Sender};
use geranium_decisions::{
    picking::{BackendKey, BackendPicker, PickReport},
    retry::RetryBudget,
};
use geranium_model::{
    InForce, InstanceName, MemberRow, Preset, PresetVersion, ResultCode, ServiceName,
};
use rand::{SeedableRng, rngs::SmallRng};

use super::{FrontEvent, body_budget::BodyBudget};
use crate::{guard::GuardEvent, link::LinkPool, metrics::NodeMetrics};

/// Wait for the first backend server that takes work, once there is a preset.
/// Members become known within about a second; a fleet whose backend servers
/// are all down must say so to its callers.
const TAKERS_WAIT: Duration = Duration::from_secs(3);

/// Routing state, owned by one thread.
///
/// Borrows of the inner cells never live across an `await`.
#[derive(Debug)]
pub struct FrontState {
    /// Own instance, whose backend server is asked without a hop.
    pub own: InstanceName,
    /// Links to other nodes.
    pub links: Arc<LinkPool>,
    /// Ring of this node's guard.
    pub guard: Sender<GuardEvent>,
    /// Room for request bodies.
    pub bodies: BodyBudget,
    /// Counters.
    pub metrics: Arc<NodeMetrics>,
    /// Origin of the monotonic clock that decisions are given.
    pub origin: Instant,
    events: Receiver<FrontEvent>,
    leaving: Cell<bool>,
    takers: RefCell<HashSet<InstanceName>>,
    routed_since: Cell<Option<Duration>>,
    routes: RefCell<Option<(InForce, Arc<Preset>)>>,
    picker: RefCell<BackendPicker>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    rng: RefCell<SmallRng>,
}

impl FrontState {
    /// Starts with no preset and no member.
    pub fn new(
        own: InstanceName,
        picker: BackendPicker,
        links: Arc<LinkPool>,
        guard: Sender<GuardEvent>,
        events: Receiver<FrontEvent>,
        metrics: Arc<NodeMetrics>,
        origin: Instant,
    ) -> Self {
        Self {
            own,
            links,
            guard,
            bodies: BodyBudget::default(),
            metrics,
            origin,
            events,
            leaving: Cell::new(false),
            takers: RefCell::default(),
            routed_since: Cell::new(None),
            routes: RefCell::new(None),
            picker: RefCell::new(picker),
            budgets: RefCell::new(HashMap::new()),
            rng: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
        }
    }

    /// Takes in what other threads told since the last call.
    pub fn absorb_events(&self) {
        for event in self.events.try_iter() {
            self.absorb(event);
        }
    }

    fn absorb(&self, event: FrontEvent) {
        match event {
            FrontEvent::Preset(in_force, preset) => {
                self.renew_budgets(&preset);
                if self.routed_since.get().is_none() {
                    self.routed_since.set(Some(self.now()));
                }
                *self.routes.borrow_mut() = Some((in_force, preset));
            }
            FrontEvent::Member(row) => {
                let mut takers = self.takers.borrow_mut();
                if row.state.takes_work() {
                    takers.insert(row.instance.clone());
                } else {
                    takers.remove(&row.instance);
                }
                self.picker.borrow_mut().upsert(self.now(), &row);
            }
            FrontEvent::Gone(instance) => {
                let former = self.member(&instance);
                if let Some(row) = former {
                    self.links.forget(row.data_addr);
                }
                self.takers.borrow_mut().remove(&instance);
                self.picker.borrow_mut().remove(&instance);
            }
            FrontEvent::Draining => self.leaving.set(true),
        }
    }

    fn renew_budgets(&self, preset: &Preset) {
        let mut budgets = self.budgets.borrow_mut();
        budgets.retain(|service, _| preset.service(service).is_some());
        for policy in preset.services() {
            let budget = budgets
                .entry(policy.name.clone())
                .or_insert_with(|| RetryBudget::new(policy.retry_share));
            budget.set_share(policy.retry_share);
        }
    }

    /// Monotonic time since the node's start.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Reports whether callers can be served: a preset is in force, and some
    /// backend server takes work or none came forth in time.
    pub fn is_ready(&self) -> bool {
        let Some(since) = self.routed_since.get() else {
            return false;
        };
        !self.takers.borrow().is_empty() || self.now().saturating_sub(since) > TAKERS_WAIT
    }

    /// Reports whether this node leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Returns the preset in force, if there is one yet.
    pub fn preset(&self) -> Option<(PresetVersion, Arc<Preset>)> {
        self.routes
            .borrow()
            .as_ref()
            .map(|(in_force, preset)| (in_force.version, Arc::clone(preset)))
    }

    /// Returns the row of an instance.
    pub fn member(&self, instance: &InstanceName) -> Option<MemberRow> {
        let picker = self.picker.borrow();
        let key = picker.key_of(instance)?;
        picker.row(key).cloned()
    }

    /// Returns the key of an instance.
    pub fn key_of(&self, instance: &InstanceName) -> Option<BackendKey> {
        self.picker.borrow().key_of(instance)
    }

    /// Picks a backend server and returns its row.
    ///
    /// # Errors
    ///
    /// The numbered code when no backend server takes the service's work.
    pub fn pick(
        &self,
        service: &ServiceName,
        exclude: &[BackendKey],
    ) -> Result<(BackendKey, MemberRow), ResultCode> {
        let mut picker = self.picker.borrow_mut();
        let key = picker.pick(self.now(), service, exclude, &mut *self.rng.borrow_mut())?;
        let row = picker.row(key).cloned().ok_or(ResultCode::NoBackend)?;
        Ok((key, row))
    }

    /// Notes that a request goes to `key`.
    pub fn sent(&self, key: BackendKey) {
        self.picker.borrow_mut().sent(self.now(), key);
    }

    /// Notes how a request at `key` ended.
    pub fn done(&self, key: BackendKey, report: PickReport) {
        self.picker.borrow_mut().done(self.now(), key, report);
    }

    /// Lets `decide` use the service's retry budget and the random numbers.
    pub fn with_budget<T>(
        &self,
        service: &ServiceName,
        decide: impl FnOnce(&mut RetryBudget, &mut SmallRng) -> T,
    ) -> Option<T> {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.get_mut(service)?;
        Some(decide(budget, &mut self.rng.borrow_mut()))
    }
}
