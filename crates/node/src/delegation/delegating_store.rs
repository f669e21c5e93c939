//! Access to the store that falls back to calls by other nodes.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use http::Method;
use rand::seq::IteratorRandom;
use slog::info;
use snafu::Snafu;

use super::{DELEGATED_CALL_PATH, DelegatedCall, DelegatedOutcome};
use crate::{
    node_core::NodeCore,
    store::{LeaseGrant, LeaseId, MetaStore, Revision, StoreError, StoreWrite},
    transport::{PeerCall, PeerCallError},
};

/// Timeout of a delegated call. The call to the store itself takes one second at most.
const DELEGATED_CALL_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Maximum number of nodes that are asked to make one call.
const DELEGATES_MAX: usize = 2;

/// Failure of a delegated call.
#[derive(Debug, Snafu)]
enum DelegationError {
    /// The call to the other node failed.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// Failure of the call.
        source: PeerCallError,
    },
    /// The delegated call can't be encoded, or its outcome can't be decoded.
    #[snafu(display("{source}"), context(false))]
    Json {
        /// Failure of the JSON encoder or decoder.
        source: serde_json::Error,
    },
}

/// Store access for this node's announcement.
///
/// The node calls the store itself. While it can't reach the store, it has another node
/// make the calls.
#[derive(Debug)]
pub struct DelegatingStore<S> {
    core: Rc<NodeCore>,
    store: Rc<S>,
    /// Node that last made a delegated call for this node; it is asked first.
    delegate: Cell<Option<SocketAddr>>,
}

impl<S: MetaStore> DelegatingStore<S> {
    /// Creates the access of a node to `store`.
    pub const fn new(core: Rc<NodeCore>, store: Rc<S>) -> Self {
        Self {
            core,
            store,
            delegate: Cell::new(None),
        }
    }

    /// Returns whether the node now calls the store itself.
    pub fn is_direct(&self) -> bool {
        self.core.store_access.borrow().allows_calls()
    }

    /// Acquires a lease.
    ///
    /// # Errors
    ///
    /// Fails when the store refuses the call, or when neither this node nor another one can
    /// make it.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseGrant, StoreError> {
        if self.is_direct() {
            self.core.metrics.record_store_call("grant");
            let grant = self.store.grant_lease(ttl).await;
            return self.record_result(grant);
        }
        let ttl_ms = ttl.as_millis() as u64;
        match self.send(&DelegatedCall::Grant { ttl_ms }).await? {
            DelegatedOutcome::Granted { lease, era, ttl_ms } => {
                self.core.eras.observe(era);
                Ok(LeaseGrant {
                    lease: LeaseId { era, number: lease },
                    ttl: Duration::from_millis(ttl_ms),
                })
            }
            outcome => Err(outcome_error(outcome)),
        }
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Fails as [`MetaStore::renew_lease`], or with [`StoreError::NoAnswer`] when no other node
    /// could make the call.
    pub async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        if self.is_direct() {
            self.core.metrics.record_store_call("renew");
            let renewed = self.store.renew_lease(lease).await;
            return self.record_result(renewed);
        }
        let delegated_call = DelegatedCall::Renew {
            lease: lease.number,
            era: lease.era,
        };
        match self.send(&delegated_call).await? {
            DelegatedOutcome::Renewed => Ok(()),
            outcome => Err(outcome_error(outcome)),
        }
    }

    /// Writes or removes a key; `call` names the store call in the metrics.
    ///
    /// # Errors
    ///
    /// Fails as [`MetaStore::commit`], or with [`StoreError::NoAnswer`] when no other node
    /// could make the call.
    pub async fn commit(
        &self,
        write: StoreWrite<'_>,
        call: &'static str,
    ) -> Result<Revision, StoreError> {
        if self.is_direct() {
            self.core.metrics.record_store_call(call);
            let written = self.store.commit(&[write]).await;
            return self.record_result(written);
        }
        let delegated_call =
            DelegatedCall::from_write(&write).ok_or_else(|| StoreError::Unexpected {
                reason: "the value isn't UTF-8 text".to_owned(),
            })?;
        match self.send(&delegated_call).await? {
            DelegatedOutcome::Written { revision } => {
                let revision = Revision(revision);
                self.core.eras.observe(revision.era());
                Ok(revision)
            }
            DelegatedOutcome::Conflict { current } => Err(StoreError::Conflict {
                key: write.key.to_owned(),
                current: Revision(current),
                conflicts: Vec::new(),
            }),
            outcome => Err(outcome_error(outcome)),
        }
    }

    fn record_result<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        if result.is_ok() {
            self.core.record_store_response();
        }
        result
    }

    /// Sends a delegated call to a few nodes in turn. The node that made the last delegated
    /// call comes first.
    async fn send(&self, delegated_call: &DelegatedCall) -> Result<DelegatedOutcome, StoreError> {
        for peer_addr in self.delegates() {
            match self.send_to(peer_addr, delegated_call).await {
                Ok(DelegatedOutcome::Failed) => {}
                Ok(outcome) => {
                    if self.delegate.replace(Some(peer_addr)) != Some(peer_addr) {
                        info!(self.core.log.logger(), "store reached through another node";
                            "at" => %peer_addr);
                    }
                    return Ok(outcome);
                }
                Err(cause) => info!(self.core.log.logger(), "delegated call not answered";
                    "at" => %peer_addr, "cause" => %cause),
            }
        }
        self.delegate.set(None);
        Err(StoreError::NoAnswer {
            reason: "no other node reaches the store".to_owned(),
        })
    }

    fn delegates(&self) -> Vec<SocketAddr> {
        let last_delegate = self.delegate.get();
        let fleet = self.core.fleet.borrow();
        let own_addr = self.core.settings.peer_addr;
        let others = fleet.reachable(self.core.clock.now());
        let others =
            others.filter(|peer_addr| *peer_addr != own_addr && Some(*peer_addr) != last_delegate);
        let sampled = others.sample(&mut rand::rng(), DELEGATES_MAX);
        last_delegate
            .into_iter()
            .chain(sampled)
            .take(DELEGATES_MAX)
            .collect()
    }

    async fn send_to(
        &self,
        peer_addr: SocketAddr,
        delegated_call: &DelegatedCall,
    ) -> Result<DelegatedOutcome, DelegationError> {
        let call = PeerCall {
            method: Method::POST,
            path: DELEGATED_CALL_PATH,
            body: serde_json::to_vec(delegated_call)?.into(),
            timeout: DELEGATED_CALL_TIMEOUT,
        };
        let idle_timeout = self.core.settings.peer_idle_timeout;
        let response_body = call
            .send(&self.core.peer_connections, peer_addr, idle_timeout)
            .await?;
        Ok(serde_json::from_slice(&response_body)?)
    }
}

/// Converts an outcome that isn't a success of its call to an error.
fn outcome_error(outcome: DelegatedOutcome) -> StoreError {
    match outcome {
        DelegatedOutcome::NoLease => StoreError::NoLease,
        outcome => StoreError::Unexpected {
            reason: format!("unexpected outcome of a delegated call: {outcome:?}"),
        },
    }
}
