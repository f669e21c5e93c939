//! Adoption and confirmation of the configuration by responses of the store.

use slog::error;

use super::ConfigSource;
use crate::{
    boot_clock::BootClock,
    config::{ConfigVersion, MeshConfig},
    freshness::{DocumentEvent, ProofSource, StoreView},
    node_core::NodeCore,
    store::{MetaStore, ReadConsistency, StoreError, StoreEvent, StoreItem, WatchBatch},
};

/// Configuration document that the store has shown.
#[derive(Debug, Clone, Copy)]
pub(super) struct StoredDocument {
    /// Version, also of a refused document; none if it is unreadable.
    pub(super) version: Option<ConfigVersion>,
    is_refused: bool,
}

/// Puts a configuration in force; an invalid one leaves the current one in force.
///
/// The version of the document may be older than the one in force.
pub(super) fn adopt(core: &NodeCore, source: ConfigSource, item: &StoreItem) -> StoredDocument {
    let current_config = core.config.borrow().clone();
    let input = (source.parse)(&item.value);
    let checked =
        input.and_then(|input| MeshConfig::checked(input.into(), current_config.as_deref()));
    match checked {
        Ok(config) => {
            let version = config.version;
            core.adopt_config(config, "store");
            StoredDocument {
                version: Some(version),
                is_refused: false,
            }
        }
        Err(reason) => {
            let version = (source.parse_version)(&item.value);
            error!(core.log.logger(), "configuration refused";
                "version" => version.map(|version| version.0),
                "revision" => item.revision.0,
                "in_force" => core.version().0,
                "cause" => %reason);
            core.metrics.record_refused_config();
            StoredDocument {
                version,
                is_refused: true,
            }
        }
    }
}

/// Puts the configuration of a watch's response in force, and returns the changes of its key.
///
/// The last document that isn't refused is put in force. Only the last document is the latest one,
/// refused or not.
pub(super) fn document_events(
    core: &NodeCore,
    source: ConfigSource,
    batch: &WatchBatch,
) -> Vec<DocumentEvent> {
    let is_document = |event: &&StoreEvent| match event {
        StoreEvent::Written(item) => item.key == source.key,
        StoreEvent::Deleted { key, .. } => key == source.key,
    };
    let documents = || batch.events.iter().rev().filter(is_document);
    // A configuration that was written before the key was removed is put in force as well.
    let written = documents().filter_map(|event| match event {
        StoreEvent::Written(item) => Some(item),
        StoreEvent::Deleted { .. } => None,
    });
    let mut latest = None;
    for item in written {
        let document = adopt(core, source, item);
        latest.get_or_insert(document.version);
        if !document.is_refused {
            break;
        }
    }
    let mut events: Vec<DocumentEvent> =
        batch.events.iter().map(|_| DocumentEvent::Other).collect();
    events.extend(latest.map(|version| match version {
        Some(version) => DocumentEvent::Written(version),
        None => DocumentEvent::Unreadable,
    }));
    if matches!(documents().next(), Some(StoreEvent::Deleted { .. })) {
        events.push(DocumentEvent::Removed);
    }
    events
}

/// Confirms the configuration by a linearizable read of its key.
pub(super) async fn confirm_by_read(
    core: &NodeCore,
    store: &impl MetaStore,
    source: ConfigSource,
    view: &mut StoreView,
    proof_source: ProofSource,
) -> Result<(), StoreError> {
    let sent_at = BootClock::now();
    core.metrics.record_store_call("confirm-config");
    let read = store
        .read(source.key, ReadConsistency::Linearizable)
        .await?;
    let document = read
        .item
        .as_ref()
        .map(|item| (adopt(core, source, item).version, item.revision));
    view.record_read(document, read.revision);
    core.record_proof(view.proof(sent_at), proof_source);
    Ok(())
}
