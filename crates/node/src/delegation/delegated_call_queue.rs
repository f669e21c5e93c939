//! Queue of delegated calls from other nodes.

use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};

use slog::warn;
use tokio::sync::{Notify, oneshot};

use super::{DelegatedCall, DelegatedOutcome};
use crate::{node_core::NodeCore, store::MetaStore};

/// Maximum number of delegated calls that wait. Each node that has lost the store sends one
/// every two seconds, and a call takes milliseconds.
const WAITING_CALLS_MAX: usize = 64;
/// Maximum age of the store's last response that counts as recent. A delegated call that
/// fails later than that means that this node has lost the store, too.
const RECENT_RESPONSE_AGE_MAX: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct WaitingCall {
    call: DelegatedCall,
    outcome_sender: oneshot::Sender<DelegatedOutcome>,
}

/// Queue of delegated calls that wait to be made.
#[derive(Debug, Default)]
pub struct DelegatedCallQueue {
    waiting: RefCell<VecDeque<WaitingCall>>,
    call_added: Notify,
}

impl DelegatedCallQueue {
    /// Queues a delegated call and returns the receiver of its outcome.
    ///
    /// Returns none when too many calls wait.
    pub fn submit(&self, call: DelegatedCall) -> Option<oneshot::Receiver<DelegatedOutcome>> {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= WAITING_CALLS_MAX {
            return None;
        }
        let (outcome_sender, outcome) = oneshot::channel();
        waiting.push_back(WaitingCall {
            call,
            outcome_sender,
        });
        self.call_added.notify_one();
        Some(outcome)
    }

    fn take_next(&self) -> Option<WaitingCall> {
        self.waiting.borrow_mut().pop_front()
    }
}

/// Makes the delegated calls of other nodes one after another, until this node ends.
pub async fn run_delegated_calls(core: Rc<NodeCore>, store: Rc<impl MetaStore>) {
    loop {
        while let Some(WaitingCall {
            call,
            outcome_sender,
        }) = core.delegated_calls.take_next()
        {
            let outcome = run(&core, &*store, &call).await;
            // The node that sent the call may have given up meanwhile.
            let _delivered = outcome_sender.send(outcome);
        }
        core.delegated_calls.call_added.notified().await;
    }
}

async fn run(core: &NodeCore, store: &impl MetaStore, call: &DelegatedCall) -> DelegatedOutcome {
    if !core.store_access.borrow().allows_calls() {
        return DelegatedOutcome::Failed;
    }
    core.metrics.record_store_call("errand");
    match call.run(store).await {
        Ok(outcome) => {
            core.record_store_response();
            outcome
        }
        Err(cause) => {
            let age = core.relay_selector.borrow().store_age(core.clock.now());
            if age > RECENT_RESPONSE_AGE_MAX {
                core.record_store_failure("errand", &cause);
            } else {
                warn!(core.log.logger(), "delegated call failed"; "cause" => %cause);
            }
            DelegatedOutcome::Failed
        }
    }
}
