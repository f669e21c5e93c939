//! Watches the configuration and operators' orders in the store.

use std::{rc::Rc, time::Duration};

use slog::error;
use tokio::{
    select,
    time::{sleep, timeout},
};

use super::{
    ConfigSource,
    confirm_config::{adopt, confirm_by_read, document_events},
};
use crate::{
    boot_clock::BootClock,
    freshness::{ProofSource, StoreView},
    node_core::NodeCore,
    rollout::RolloutSource,
    store::{MetaStore, ReadConsistency, Revision, StoreError, StoreEvent, StoreItem},
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

/// What the last calls to the store have shown.
#[derive(Debug, Clone, Copy, Default)]
struct WatchState {
    /// Revision from which the next watch continues; none if the next call is a read.
    after: Option<Revision>,
    /// Configuration that the store has shown, where proofs of freshness are needed.
    view: StoreView,
}

/// Result of one call.
#[derive(Debug, Clone, Copy)]
struct WatchStep {
    /// Revision from which the next watch continues.
    revision: Revision,
    /// Whether further changes may follow soon.
    has_changes: bool,
}

/// Watches the configuration and orders in the store while this node has that duty.
///
/// Where proofs of freshness are needed, the responses confirm the configuration, and the waits
/// are short.
pub async fn watch_config(core: Rc<NodeCore>, store: Rc<impl MetaStore>, source: OperatorSource) {
    let mut state = WatchState::default();
    loop {
        if !core.watches_orders() {
            state.after = None;
            core.forget_orders();
            let _idle = timeout(IDLE_CHECK_INTERVAL, core.watch_duty_changed.notified()).await;
            continue;
        }
        core.until_store_back().await;
        let begun_at = BootClock::now();
        let is_polling = core.is_settling() && !core.needs_proofs();
        if state.after.is_none()
            && let Some(proof) = core.config_proof()
        {
            state.view = StoreView::of_proof(&proof);
        }
        let step = match state.after {
            Some(revision) if !is_polling => {
                watch_step(&core, &*store, source, revision, &mut state.view).await
            }
            _ => read_config(&core, &*store, source, &mut state.view).await,
        };
        match step {
            Ok(step) => {
                core.record_store_response();
                state.after = Some(step.revision);
                let took = BootClock::now().saturating_sub(begun_at);
                // Proofs have to come often, and there is no change to be gathered.
                sleep(if core.needs_proofs() && !step.has_changes {
                    GATHER_TIME.saturating_sub(took)
                } else {
                    GATHER_TIME
                })
                .await;
            }
            Err(StoreError::HistoryGone) => state.after = None,
            Err(failure) => core.record_store_failure("configuration", &failure),
        }
    }
}

async fn read_config(
    core: &NodeCore,
    store: &impl MetaStore,
    source: OperatorSource,
    view: &mut StoreView,
) -> Result<WatchStep, StoreError> {
    // Only a linearizable read confirms the configuration.
    let consistency = if core.needs_proofs() {
        ReadConsistency::Linearizable
    } else {
        core.first_read_consistency()
    };
    let sent_at = BootClock::now();
    core.metrics.record_store_call("read-config");
    let Some(rollouts) = source.rollouts else {
        let read = store.read(source.config.key, consistency).await?;
        let document = read
            .item
            .as_ref()
            .map(|item| (adopt(core, source.config, item).version, item.revision));
        view.record_read(document, read.revision);
        core.record_proof(view.proof(sent_at), ProofSource::Store);
        return Ok(WatchStep {
            revision: read.revision,
            has_changes: true,
        });
    };
    let list = store.list(rollouts.watch_prefix, consistency).await?;
    let services = list
        .items
        .iter()
        .filter_map(|item| order_service(rollouts, &item.key));
    core.record_order_list(services.map(str::to_owned));
    let mut document = None;
    for item in &list.items {
        if item.key == source.config.key {
            let version = adopt(core, source.config, item).version;
            document = Some((version, item.revision));
        } else {
            apply_order(core, source, item);
        }
    }
    view.record_read(document, list.revision);
    core.record_proof(view.proof(sent_at), ProofSource::Store);
    Ok(WatchStep {
        revision: list.revision,
        has_changes: true,
    })
}

/// Waits for a change, or until this node doesn't have to watch any more.
async fn watch_step(
    core: &NodeCore,
    store: &impl MetaStore,
    source: OperatorSource,
    after: Revision,
    view: &mut StoreView,
) -> Result<WatchStep, StoreError> {
    let sent_at = BootClock::now();
    core.metrics.record_store_call("watch-config");
    let wait = core.proof_watch_wait().unwrap_or(WATCH_WAIT);
    let batch = select! {
        batch = store.watch(source.watch_prefix(), after, wait) => batch?,
        () = core.until_watch_ends(NodeCore::watches_orders) => {
            return Ok(WatchStep { revision: after, has_changes: true });
        }
    };
    let events = document_events(core, source.config, &batch);
    view.record_batch(&events, batch.revision);
    core.record_proof(view.proof(sent_at), ProofSource::Store);
    for event in &batch.events {
        match event {
            StoreEvent::Written(item) if item.key != source.config.key => {
                apply_order(core, source, item);
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
    if view.is_in_doubt() && core.needs_proof_read() {
        confirm_by_read(core, store, source.config, view, ProofSource::Store).await?;
    }
    Ok(WatchStep {
        revision: batch.revision.max(after),
        has_changes: !batch.events.is_empty(),
    })
}

/// Returns the service whose order has this key; none for another key.
fn order_service(source: RolloutSource, key: &str) -> Option<&str> {
    key.strip_prefix(source.order_prefix)
}

/// Applies an order; other keys have no effect.
fn apply_order(core: &NodeCore, source: OperatorSource, item: &StoreItem) {
    let Some(rollouts) = source.rollouts else {
        return;
    };
    let Some(service) = order_service(rollouts, &item.key) else {
        return;
    };
    core.orders.borrow_mut().record_key(service);
    match (rollouts.parse_order)(&item.value) {
        Ok(order) if order.service == service => core.record_order(order, item.revision),
        Ok(order) => error!(core.log.logger(), "rollout order refused";
            "key" => &*item.key, "revision" => item.revision.0,
            "cause" => format!("the order is for {}", order.service)),
        Err(cause) => error!(core.log.logger(), "rollout order refused";
            "key" => &*item.key, "revision" => item.revision.0, "cause" => %cause),
    }
}
