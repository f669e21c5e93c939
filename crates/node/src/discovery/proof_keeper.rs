//! Confirms the configuration where the relay sends no proofs of freshness.

use std::{rc::Rc, time::Duration};

use rand::RngExt;
use slog::debug;
use tokio::time::sleep;

use super::{
    ConfigSource,
    confirm_config::{confirm_by_read, document_events},
};
use crate::{
    boot_clock::BootClock,
    freshness::{ConfigProof, ProofSource, StoreView},
    node_core::{CHECK_WAIT, NodeCore},
    store::{MetaStore, StoreError},
};

/// Time between checks of the proof's age.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Confirms the configuration while the proof is getting old, if the store may be called.
///
/// The proof gets old while a relay hangs and its followers haven't turned to another one yet, and
/// while a watch hangs. The task ends at once where no proofs are needed.
pub async fn keep_fresh(core: Rc<NodeCore>, store: Rc<impl MetaStore>, source: ConfigSource) {
    let jitter: f64 = rand::rng().random();
    while core.needs_proofs() {
        sleep(CHECK_INTERVAL).await;
        core.log_freshness();
        let Some(proof) = core.begin_own_check(jitter) else {
            continue;
        };
        match check(&core, &*store, source, &proof).await {
            Ok(()) => core.record_store_response(),
            // The store has a later era. The proof of that era comes by a read, which the node
            // that watches the store makes.
            Err(StoreError::HistoryGone) => {
                debug!(core.log.logger(), "proof of an ended era"; "revision" => proof.revision.0);
            }
            Err(failure) => core.record_store_failure("freshness", &failure),
        }
    }
}

/// Confirms the configuration by a watch from the revision of `proof`.
///
/// A read follows only if the watch may have gone silent.
async fn check(
    core: &NodeCore,
    store: &impl MetaStore,
    source: ConfigSource,
    proof: &ConfigProof,
) -> Result<(), StoreError> {
    let sent_at = BootClock::now();
    core.metrics.record_store_call("check-config");
    let batch = store.watch(source.key, proof.revision, CHECK_WAIT).await?;
    let mut view = StoreView::of_proof(proof);
    let events = document_events(core, source, &batch);
    view.record_batch(&events, batch.revision);
    if view.is_in_doubt() {
        return confirm_by_read(core, store, source, &mut view, ProofSource::OwnCheck).await;
    }
    core.record_proof(view.proof(sent_at), ProofSource::OwnCheck);
    Ok(())
}
