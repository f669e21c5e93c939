//! Writes of the deciding node to the store.

use slog::{error, info};

use super::{RolloutRecord, decide_rollouts::RolloutTask, rollout_key};
use crate::store::{MetaStore, ReadConsistency, StoreError, StoreWrite};

impl<S: MetaStore> RolloutTask<S> {
    /// Writes a record and its status to the store, if nothing else was written meanwhile.
    pub(super) async fn commit(&mut self, service: &str, record: RolloutRecord) {
        if !self.core.store_access.borrow().allows_calls() {
            return;
        }
        let value = match serde_json::to_vec(&record) {
            Ok(value) => value,
            Err(cause) => {
                error!(self.core.log.logger(), "rollout record not encoded"; "cause" => %cause);
                return;
            }
        };
        let status = (self.source.write_status)(&record);
        let key = rollout_key(service);
        let status_key = format!("{}{service}", self.source.status_prefix);
        // The second try has the status document's revision from the conflict of the first.
        for _ in 0..2 {
            let expected = self.core.rollouts.borrow().revision(service);
            let status_expected = self.status_revisions.get(service).copied();
            // The store's response tells the revision of the last write.
            let writes = [
                StoreWrite::put(&status_key, &status, status_expected.unwrap_or_default()),
                StoreWrite::put(&key, &value, expected),
            ];
            self.core.metrics.record_store_call("rollout");
            match self.store.commit(&writes).await {
                Ok(revision) => {
                    self.core.record_store_response();
                    self.status_revisions.insert(service.to_owned(), revision);
                    self.core.record_rollout(record, revision);
                    return;
                }
                Err(StoreError::Conflict { key, current, .. }) if key == status_key => {
                    self.status_revisions.insert(service.to_owned(), current);
                }
                Err(StoreError::Conflict { current, .. }) => {
                    info!(self.core.log.logger(), "rollout changed by another node";
                        "service" => service, "expected" => expected.0, "current" => current.0);
                    self.read_record(service, &key).await;
                    return;
                }
                Err(failure) => {
                    self.core.record_store_failure("rollout", &failure);
                    return;
                }
            }
        }
    }

    /// Reads a record that another node has written, or this node without a response.
    pub(super) async fn read_record(&mut self, service: &str, key: &str) {
        self.core.metrics.record_store_call("read-rollout");
        match self.store.read(key, ReadConsistency::Linearizable).await {
            Ok(read) => match read.item {
                Some(item) => self.core.record_rollout_item(&item),
                None => self.core.rollouts.borrow_mut().mark_missing(service),
            },
            Err(failure) => self.core.record_store_failure("rollout", &failure),
        }
    }
}
