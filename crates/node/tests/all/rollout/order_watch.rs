//! Orders as nodes know them that change between watching the store and following a relay.

use std::{cell::RefCell, future::pending, rc::Rc, time::Duration};

use geranium_node::{
    config::{ConfigError, ConfigInput, ConfigVersion},
    discovery::{ConfigSource, OperatorSource, watch_config},
    event_log::EventLog,
    member::MemberRecord,
    node_core::NodeCore,
    node_settings::NodeSettings,
    rollout::{
        OrderState, RolloutOrder, RolloutOrderError, RolloutPhase, RolloutRecord, RolloutSource,
    },
    store::{
        LeaseGrant, LeaseId, MetaStore, ReadConsistency, Revision, StoreError, StoreEvent,
        StoreItem, StoreList, StoreRead, StoreWrite, WatchBatch,
    },
};
use slog::{Discard, Logger, o};
use tokio::{
    sync::Notify,
    task::{LocalSet, spawn_local},
    time::{sleep, timeout},
};

use super::{order, record};
use crate::{
    config::{document, headers, route, settings},
    support::record as member,
};

/// Time after which a wait fails, on a clock that moves on when all tasks wait.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
const CONFIG_KEY: &str = "op/config";
const ORDER_KEY: &str = "op/rollout/prices";

/// Store with the configuration and at most one order.
#[derive(Debug, Default)]
struct OrderStore {
    order: RefCell<Option<Revision>>,
    /// Deletion of the order.
    deleted: RefCell<Option<Revision>>,
    changed: Notify,
    open_watches: RefCell<u32>,
}

/// Watch that is open until it is dropped.
#[derive(Debug)]
struct OpenWatch<'a>(&'a OrderStore);

impl Drop for OpenWatch<'_> {
    fn drop(&mut self) {
        *self.0.open_watches.borrow_mut() -= 1;
    }
}

impl OrderStore {
    fn delete_order(&self) {
        *self.order.borrow_mut() = None;
        *self.deleted.borrow_mut() = Some(Revision(20));
        self.changed.notify_waiters();
    }

    fn is_watched(&self) -> bool {
        *self.open_watches.borrow() > 0
    }

    fn deletion_after(&self, after: Revision) -> Option<WatchBatch> {
        let deleted = *self.deleted.borrow();
        let revision = deleted.filter(|deleted| *deleted > after)?;
        let key = ORDER_KEY.to_owned();
        Some(WatchBatch {
            events: vec![StoreEvent::Deleted { key, revision }],
            revision,
        })
    }
}

impl MetaStore for OrderStore {
    async fn read(&self, _: &str, _: ReadConsistency) -> Result<StoreRead, StoreError> {
        Ok(StoreRead::default())
    }

    async fn list(&self, _: &str, _: ReadConsistency) -> Result<StoreList, StoreError> {
        let item = |key: &str, revision| StoreItem {
            key: key.to_owned(),
            value: Vec::new(),
            revision,
            lease: None,
        };
        let order = self
            .order
            .borrow()
            .map(|revision| item(ORDER_KEY, revision));
        let items = order.into_iter().chain([item(CONFIG_KEY, Revision(1))]);
        Ok(StoreList {
            items: items.collect(),
            revision: self.deleted.borrow().unwrap_or(Revision(10)),
        })
    }

    async fn watch(&self, _: &str, after: Revision, _: Duration) -> Result<WatchBatch, StoreError> {
        *self.open_watches.borrow_mut() += 1;
        let _watch = OpenWatch(self);
        loop {
            let changed = self.changed.notified();
            if let Some(batch) = self.deletion_after(after) {
                return Ok(batch);
            }
            changed.await;
        }
    }

    async fn commit(&self, _: &[StoreWrite<'_>]) -> Result<Revision, StoreError> {
        pending().await
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseGrant, StoreError> {
        pending().await
    }

    async fn renew_lease(&self, _: LeaseId) -> Result<(), StoreError> {
        pending().await
    }
}

/// Node that watches the store, with an order for `prices`.
#[derive(Debug)]
struct WatchingNode {
    core: Rc<NodeCore>,
    store: Rc<OrderStore>,
}

impl WatchingNode {
    /// Starts the watch, and returns once the node knows the order.
    async fn start() -> Self {
        let log = EventLog::new(Logger::root(Discard, o!()));
        let settings = NodeSettings {
            has_rollouts: true,
            ..settings()
        };
        let core = NodeCore::new(settings, headers(), log);
        let core = core.expect("the metrics can be registered");
        let store = Rc::new(OrderStore::default());
        *store.order.borrow_mut() = Some(Revision(5));
        core.record_local_members_listed();
        spawn_local(watch_config(Rc::clone(&core), Rc::clone(&store), source()));
        let node = Self { core, store };
        node.until(|node| node.state() == OrderState::Present && node.store.is_watched())
            .await;
        node
    }

    fn state(&self) -> OrderState {
        self.core.orders.borrow().state("prices")
    }

    /// Has the node decide about the rollout, which is in `phase`.
    fn decide(&self, phase: RolloutPhase, revision: u64) {
        let record = RolloutRecord {
            decided_by: self.core.settings.peer_addr,
            ..record(5, phase)
        };
        self.core.record_rollout(record, Revision(revision));
    }

    /// Makes the node know another one that all nodes of its data centre prefer as their relay.
    fn find_relay(&self) {
        let relay = MemberRecord {
            link_mbps: 1_000,
            ..member(1)
        };
        let mut fleet = self.core.fleet.borrow_mut();
        fleet.announce(self.core.clock.now(), relay, Revision(11));
        fleet.advance(Revision(11));
        drop(fleet);
        assert!(!self.core.watches_store());
        self.core.watch_duty_changed.notify_waiters();
    }

    async fn until(&self, holds: impl Fn(&Self) -> bool) {
        let waited = async {
            while !holds(self) {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(WAIT_LIMIT, waited).await.expect("the wait ends");
    }
}

fn source() -> OperatorSource {
    let parse = |_: &[u8]| -> Result<ConfigInput, ConfigError> {
        Ok(document(1, vec![route("r", "/p/", &[("a", 1)])]))
    };
    let parse_order = |_: &[u8]| -> Result<RolloutOrder, RolloutOrderError> {
        Ok(order(Duration::from_secs(16)))
    };
    OperatorSource {
        config: ConfigSource {
            key: CONFIG_KEY,
            parse,
            parse_version: |_| Some(ConfigVersion(1)),
        },
        rollouts: Some(RolloutSource {
            watch_prefix: "op/",
            order_prefix: "op/rollout/",
            parse_order,
            status_prefix: "status/rollout/",
            write_status: |_| Vec::new(),
        }),
    }
}

/// Runs a test with a clock that moves on when all tasks wait.
fn run(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build();
    let runtime = runtime.expect("a runtime starts");
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against a rollout whose order is deleted after its deciding node got a relay.
#[test]
fn a_deciding_node_with_a_relay_learns_of_the_deletion() {
    run(async {
        let node = WatchingNode::start().await;
        node.decide(RolloutPhase::Canary, 12);
        node.find_relay();
        // A watch that ends with the duty to watch the store has ended by then.
        sleep(Duration::from_millis(50)).await;
        node.store.delete_order();
        node.until(|node| node.state() == OrderState::Deleted).await;
        assert!(node.core.orders.borrow().get("prices").is_none());
        node.decide(RolloutPhase::RolledBack, 22);
        node.until(|node| !node.store.is_watched()).await;
    });
}

/// Guards against a node that acts on an order that was deleted while it followed a relay.
#[test]
fn a_node_with_a_relay_forgets_the_orders() {
    run(async {
        let node = WatchingNode::start().await;
        node.find_relay();
        node.until(|node| node.state() == OrderState::Unknown).await;
        assert!(!node.store.is_watched());
        assert_eq!(node.core.orders.borrow().orders().count(), 0);
        node.store.delete_order();
        // A node that begins to decide lists the orders.
        node.decide(RolloutPhase::Canary, 12);
        node.until(|node| node.state() == OrderState::Deleted).await;
    });
}
