//! Watches the configuration in the store.

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

/// Watches the configuration in the store while this node has that duty.
pub async fn watch_config(core: Rc<NodeCore>, store: Rc<impl MetaStore>, source: ConfigSource) {
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
    source: ConfigSource,
) -> Result<Revision, StoreError> {
    core.metrics.record_store_call("read-config");
    let read = store
        .read(source.key, core.first_read_consistency())
        .await?;
    if let Some(item) = &read.item {
        adopt(core, source, item);
    }
    Ok(read.revision)
}

/// Waits for a change of the configuration, or until this node doesn't have to watch any more.
async fn watch_step(
    core: &NodeCore,
    store: &impl MetaStore,
    source: ConfigSource,
    after: Revision,
) -> Result<Revision, StoreError> {
    core.metrics.record_store_call("watch-config");
    let batch = select! {
        batch = store.watch(source.key, after, WATCH_WAIT) => batch?,
        () = core.until_watch_ends() => return Ok(after),
    };
    // Only the last version counts, as it replaced the earlier ones.
    let written = batch.events.iter().rev().find_map(|event| match event {
        StoreEvent::Written(item) if item.key == source.key => Some(item),
        _ => None,
    });
    if let Some(item) = written {
        adopt(core, source, item);
    }
    Ok(batch.revision.max(after))
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
