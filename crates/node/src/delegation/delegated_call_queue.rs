//! Delegated calls that wait to be run.

use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};

use slog::warn;
use tokio::sync::{Notify, oneshot};

use super::{DelegatedCall, DelegatedOutcome};
use crate::{node_core::NodeCore, store::MetaStore};

/// Delegated calls that may wait. Nodes that have lost the store send one in two seconds
/// each; a call takes milliseconds.
const WAITING_MAX: usize = 64;
/// Time since the store's last answer after which a delegated call that failed is taken
/// for a sign that this node has lost the store too.
const ANSWER_RECENT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct WaitingCall {
    call: DelegatedCall,
    done: oneshot::Sender<DelegatedOutcome>,
}

/// Delegated calls that wait to be run.
#[derive(Debug, Default)]
pub struct DelegatedCallQueue {
    waiting: RefCell<VecDeque<WaitingCall>>,
    heard: Notify,
}

impl DelegatedCallQueue {
    /// Takes a delegated call in; nothing when too many wait.
    pub fn submit(&self, call: DelegatedCall) -> Option<oneshot::Receiver<DelegatedOutcome>> {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= WAITING_MAX {
            return None;
        }
        let (done, outcome) = oneshot::channel();
        waiting.push_back(WaitingCall { call, done });
        self.heard.notify_one();
        Some(outcome)
    }

    fn take(&self) -> Option<WaitingCall> {
        self.waiting.borrow_mut().pop_front()
    }
}

/// Runs the delegated calls of other nodes until this one ends.
pub async fn run_delegated_calls(core: Rc<NodeCore>, store: Rc<impl MetaStore>) {
    loop {
        while let Some(WaitingCall { call, done }) = core.delegated_calls.take() {
            let outcome = run(&core, &*store, &call).await;
            // Whoever asked may have given up meanwhile.
            let _heard = done.send(outcome);
        }
        core.delegated_calls.heard.notified().await;
    }
}

async fn run(core: &NodeCore, store: &impl MetaStore, call: &DelegatedCall) -> DelegatedOutcome {
    if !core.store_access.borrow().is_open() {
        return DelegatedOutcome::Failed;
    }
    core.metrics.record_store_call("errand");
    match call.run(store).await {
        Ok(outcome) => {
            core.store_answered();
            outcome
        }
        Err(cause) => {
            let age = core.relay_selector.borrow().store_age(core.clock.now());
            if age > ANSWER_RECENT {
                core.store_failed("errand", &cause);
            } else {
                warn!(core.log.logger(), "errand failed"; "cause" => %cause);
            }
            DelegatedOutcome::Failed
        }
    }
}
