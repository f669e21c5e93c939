//! Watches the configuration and operators' orders in the store.

use std::{rc::Rc, time::Duration};

use slog::error;
use tokio::{
    select,
    time::{sleep, timeout},
};

use super::ConfigSource;
use crate::{
    config::MeshConfig,
    node_core::NodeCore,
    rollout::RolloutSource,
    store::{MetaStore, Revision, StoreError, StoreEvent, StoreItem},
};

/// Longest wait of one watch call; the store allows 30 s. A connection that has gone
/// silent for good is noticed a second after this time at most.
const WATCH_WAIT: Duration = Duration::from_secs(6);
/// Pause after a change in which further ones are collected. Changes come in bursts of
/// several a second, each watch costs a call, and a change has to be in force within two
/// seconds.
const GATHER_TIME: Duration = Duration::from_millis(400);
/// Time between checks whether this node has to watch the store.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Keys of operators in the store that a node watches.
#[derive(Debug, Clone, Copy)]
pub struct OperatorSource {
    /// The configuration.
    pub config: ConfigSource,
    /// Orders of rollouts; none where operators order none.
    pub rollouts: Option<RolloutSource>,
}

impl OperatorSource {
    /// Returns the prefix of all keys that are watched. One watch costs one call.
    const fn watch_prefix(&self) -> &'static str {
        match &self.rollouts {
            Some(rollouts) => rollouts.watch_prefix,
            None => self.config.key,
        }
    }
}

/// Watches the configuration and orders in the store while this node has that duty.
pub async fn watch_config(core: Rc<NodeCore>, store: Rc<impl MetaStore>, source: OperatorSource) {
    let mut after: Option<Revision> = None;
    loop {
        if !core.watches_store() {
            after = None;
            let _idle = timeout(IDLE_CHECK_INTERVAL, core.watch_duty_changed.notified()).await;
            continue;
        }
        core.until_store_back().await;
        let step = match after {
            Some(revision) if !core.is_settling() => {
                watch_step(&core, &*store, source, revision).await
            }
            _ => read_config(&core, &*store, source).await,
        };
        match step {
            Ok(revision) => {
                core.record_store_response();
                after = Some(revision);
                sleep(GATHER_TIME).await;
            }
            Err(StoreError::HistoryGone) => after = None,
            Err(failure) => core.record_store_failure("configuration", &failure),
        }
    }
}

async fn read_config(
    core: &NodeCore,
    store: &impl MetaStore,
    source: OperatorSource,
) -> Result<Revision, StoreError> {
    core.metrics.record_store_call("read-config");
    let consistency = core.first_read_consistency();
    let Some(rollouts) = source.rollouts else {
        let read = store.read(source.config.key, consistency).await?;
        if let Some(item) = &read.item {
            adopt(core, source.config, item);
        }
        return Ok(read.revision);
    };
    let list = store.list(rollouts.watch_prefix, consistency).await?;
    let services = list
        .items
        .iter()
        .filter_map(|item| order_service(rollouts, &item.key));
    let services: Vec<&str> = services.collect();
    core.retain_orders(|service| services.contains(&service));
    for item in &list.items {
        apply_item(core, source, item);
    }
    Ok(list.revision)
}

/// Waits for a change, or until this node doesn't have to watch any more.
async fn watch_step(
    core: &NodeCore,
    store: &impl MetaStore,
    source: OperatorSource,
    after: Revision,
) -> Result<Revision, StoreError> {
    core.metrics.record_store_call("watch-config");
    let batch = select! {
        batch = store.watch(source.watch_prefix(), after, WATCH_WAIT) => batch?,
        () = core.until_watch_ends() => return Ok(after),
    };
    // Only the last configuration counts, as it replaced the earlier ones.
    let written = batch.events.iter().rev().find_map(|event| match event {
        StoreEvent::Written(item) if item.key == source.config.key => Some(item),
        _ => None,
    });
    if let Some(item) = written {
        adopt(core, source.config, item);
    }
    for event in &batch.events {
        match event {
            StoreEvent::Written(item) if item.key != source.config.key => {
                apply_item(core, source, item);
            }
            StoreEvent::Written(_) => {}
            StoreEvent::Deleted { key, .. } => {
                let service = source
                    .rollouts
                    .and_then(|source| order_service(source, key));
                if let Some(service) = service {
                    core.remove_order(service);
                }
            }
        }
    }
    Ok(batch.revision.max(after))
}

/// Returns the service whose order has this key; none for another key.
fn order_service(source: RolloutSource, key: &str) -> Option<&str> {
    key.strip_prefix(source.order_prefix)
}

/// Applies the configuration or an order; other keys have no effect.
fn apply_item(core: &NodeCore, source: OperatorSource, item: &StoreItem) {
    if item.key == source.config.key {
        adopt(core, source.config, item);
        return;
    }
    let Some(rollouts) = source.rollouts else {
        return;
    };
    let Some(service) = order_service(rollouts, &item.key) else {
        return;
    };
    match (rollouts.parse_order)(&item.value) {
        Ok(order) if order.service == service => core.record_order(order, item.revision),
        Ok(order) => error!(core.log.logger(), "rollout order refused";
            "key" => &*item.key, "revision" => item.revision.0,
            "cause" => format!("the order is for {}", order.service)),
        Err(cause) => error!(core.log.logger(), "rollout order refused";
            "key" => &*item.key, "revision" => item.revision.0, "cause" => %cause),
    }
}

/// Puts a configuration in force; an invalid one leaves the current one in force.
fn adopt(core: &NodeCore, source: ConfigSource, item: &StoreItem) {
    let current_config = core.config.borrow().clone();
    let input = (source.parse)(&item.value);
    let checked =
        input.and_then(|input| MeshConfig::checked(input.into(), current_config.as_deref()));
    match checked {
        Ok(config) => drop(core.adopt_config(config, "store")),
        Err(reason) => error!(core.log.logger(), "configuration refused";
            "revision" => item.revision.0,
            "in_force" => core.version().0,
            "cause" => %reason),
    }
}
