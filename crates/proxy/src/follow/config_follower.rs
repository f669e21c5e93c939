//! Keeps the configuration in force.

use std::{rc::Rc, time::Duration};

use slog::{error, info, warn};
use tokio::time::sleep;

use super::{ConfigSource, StorePause};
use crate::{
    config::MeshConfig,
    node_core::NodeCore,
    store::{MetaStore, Revision, StoreError, StoreEvent, StoreItem},
};

/// Longest wait of a watch; the store allows 30 s.
const WATCH_WAIT: Duration = Duration::from_secs(28);
/// Pause after a change, in which further ones gather. Changes come in bursts
/// of several a second, each watch costs a call, and a change has to be in
/// force within two seconds.
const GATHER: Duration = Duration::from_millis(400);

/// Keeps the configuration in force until the node stops.
pub async fn follow_config(core: Rc<NodeCore>, store: Rc<impl MetaStore>, source: ConfigSource) {
    let mut pause = StorePause::default();
    let mut after: Option<Revision> = None;
    loop {
        let step = match after {
            None => read_config(&core, &*store, source).await,
            Some(revision) => watch_config(&core, &*store, source, revision).await,
        };
        match step {
            Ok(revision) => {
                if pause.is_failing() {
                    info!(core.log.logger(), "store regained"; "for" => "configuration");
                }
                pause.succeeded();
                after = Some(revision);
                sleep(GATHER).await;
            }
            Err(StoreError::HistoryGone) => after = None,
            Err(failure) => {
                if !pause.is_failing() {
                    warn!(core.log.logger(), "store lost";
                        "for" => "configuration",
                        "version" => core.version().0,
                        "cause" => %failure);
                }
                let pause = pause.failed(&mut rand::rng());
                sleep(pause).await;
            }
        }
    }
}

async fn read_config(
    core: &NodeCore,
    store: &impl MetaStore,
    source: ConfigSource,
) -> Result<Revision, StoreError> {
    core.metrics.store_call("read-config");
    let Some(item) = store.read(source.key).await? else {
        return Ok(Revision(0));
    };
    take(core, source, &item);
    Ok(item.revision)
}

async fn watch_config(
    core: &NodeCore,
    store: &impl MetaStore,
    source: ConfigSource,
    after: Revision,
) -> Result<Revision, StoreError> {
    core.metrics.store_call("watch-config");
    let batch = store.watch(source.key, after, WATCH_WAIT).await?;
    for event in &batch.events {
        if let StoreEvent::Written(item) = event
            && item.key == source.key
        {
            take(core, source, item);
        }
    }
    Ok(batch.revision.max(after))
}

/// Puts a document in force; one that is bad leaves the old in force.
fn take(core: &NodeCore, source: ConfigSource, item: &StoreItem) {
    let checked = (source.parse)(&item.value).and_then(|input| MeshConfig::try_from(&input));
    match checked {
        Ok(config) => drop(core.adopt_config(config, "store")),
        Err(reason) => error!(core.log.logger(), "configuration refused";
            "revision" => item.revision.0,
            "in_force" => core.version().0,
            "cause" => %reason),
    }
}
