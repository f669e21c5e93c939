//! The way by which a node's announcement comes to the store.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use http::Method;
use rand::seq::IteratorRandom;
use slog::info;
use snafu::Snafu;

use super::{DELEGATED_CALL_PATH, DelegatedCall, DelegatedOutcome};
use crate::{
    node_core::NodeCore,
    store::{LeaseGrant, LeaseId, MetaStore, Revision, StoreError, StoreWrite},
    transport::{CallError, NodeCall},
};

/// Longest time for a delegated call: the store's call takes one at most.
const DELEGATED_CALL_TIME: Duration = Duration::from_millis(1_300);
/// Nodes asked in one round.
const ASKED_MAX: usize = 2;

/// Failure of a delegated call.
#[derive(Debug, Snafu)]
enum DelegationError {
    /// The node can't be asked.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// What was met.
        source: CallError,
    },
    /// The delegated call or its outcome can't be written as text, or read.
    #[snafu(display("{source}"), context(false))]
    Text {
        /// What was met.
        source: serde_json::Error,
    },
}

/// The way by which a node's announcement comes to the store: its own calls, or
/// those of another node while the store doesn't answer this one.
#[derive(Debug)]
pub struct DelegatingStore<S> {
    core: Rc<NodeCore>,
    store: Rc<S>,
    /// Node that made the last delegated call.
    helper: Cell<Option<SocketAddr>>,
}

impl<S: MetaStore> DelegatingStore<S> {
    /// Makes the way of a node.
    pub const fn new(core: Rc<NodeCore>, store: Rc<S>) -> Self {
        Self {
            core,
            store,
            helper: Cell::new(None),
        }
    }

    /// Whether the node calls the store itself.
    pub fn is_direct(&self) -> bool {
        self.core.store_access.borrow().is_open()
    }

    /// Asks for a lease.
    ///
    /// # Errors
    ///
    /// When the store can't be reached or refuses.
    pub async fn grant(&self, ttl: Duration) -> Result<LeaseGrant, StoreError> {
        if self.is_direct() {
            self.core.metrics.store_call("grant");
            let grant = self.store.grant(ttl).await;
            return self.answered(grant);
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
            outcome => Err(unexpected(outcome)),
        }
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// As [`MetaStore::renew`].
    pub async fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        if self.is_direct() {
            self.core.metrics.store_call("renew");
            let renewed = self.store.renew(lease).await;
            return self.answered(renewed);
        }
        let delegated_call = DelegatedCall::Renew {
            lease: lease.number,
            era: lease.era,
        };
        match self.send(&delegated_call).await? {
            DelegatedOutcome::Renewed => Ok(()),
            outcome => Err(unexpected(outcome)),
        }
    }

    /// Makes a change; `call` names it in the metrics.
    ///
    /// # Errors
    ///
    /// As [`MetaStore::commit`].
    pub async fn commit(
        &self,
        write: StoreWrite<'_>,
        call: &'static str,
    ) -> Result<Revision, StoreError> {
        if self.is_direct() {
            self.core.metrics.store_call(call);
            let written = self.store.commit(&[write]).await;
            return self.answered(written);
        }
        let delegated_call =
            DelegatedCall::of_write(&write).ok_or_else(|| StoreError::Unexpected {
                reason: "the value is no text".to_owned(),
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
            }),
            outcome => Err(unexpected(outcome)),
        }
    }

    fn answered<T>(&self, done: Result<T, StoreError>) -> Result<T, StoreError> {
        if done.is_ok() {
            self.core.store_answered();
        }
        done
    }

    /// Sends a delegated call to a few nodes in turn, first to the one that made the last.
    async fn send(&self, delegated_call: &DelegatedCall) -> Result<DelegatedOutcome, StoreError> {
        for peer_addr in self.helpers() {
            match self.ask(peer_addr, delegated_call).await {
                Ok(DelegatedOutcome::Failed) => {}
                Ok(outcome) => {
                    if self.helper.replace(Some(peer_addr)) != Some(peer_addr) {
                        info!(self.core.log.logger(), "store reached through another node";
                            "at" => %peer_addr);
                    }
                    return Ok(outcome);
                }
                Err(cause) => info!(self.core.log.logger(), "errand not taken";
                    "at" => %peer_addr, "cause" => %cause),
            }
        }
        self.helper.set(None);
        Err(StoreError::NoAnswer {
            reason: "no other node reaches the store".to_owned(),
        })
    }

    fn helpers(&self) -> Vec<SocketAddr> {
        let last = self.helper.get();
        let fleet = self.core.fleet.borrow();
        let own = self.core.settings.peer_addr;
        let others = fleet.reachable(self.core.clock.now());
        let others = others.filter(|peer_addr| *peer_addr != own && Some(*peer_addr) != last);
        let drawn = others.sample(&mut rand::rng(), ASKED_MAX);
        last.into_iter().chain(drawn).take(ASKED_MAX).collect()
    }

    async fn ask(
        &self,
        peer_addr: SocketAddr,
        delegated_call: &DelegatedCall,
    ) -> Result<DelegatedOutcome, DelegationError> {
        let call = NodeCall {
            method: Method::POST,
            path: DELEGATED_CALL_PATH,
            body: serde_json::to_vec(delegated_call)?.into(),
            time: DELEGATED_CALL_TIME,
        };
        let idle_time = self.core.settings.peer_idle_timeout;
        let whole = call
            .send(&self.core.peer_connections, peer_addr, idle_time)
            .await?;
        Ok(serde_json::from_slice(&whole)?)
    }
}

/// Returns the error that an outcome is which doesn't answer its delegated call.
fn unexpected(outcome: DelegatedOutcome) -> StoreError {
    match outcome {
        DelegatedOutcome::NoLease => StoreError::NoLease,
        outcome => StoreError::Unexpected {
            reason: format!("errand: {outcome:?}"),
        },
    }
}
