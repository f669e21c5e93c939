//! One try of a request at one backend server.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use geranium_model::{InstanceName, MemberRow};
use tokio::sync::oneshot;

use super::front_state::FrontState;
use crate::{
    guard::{GuardEvent, ReplySink},
    link::{LinkError, LinkPool},
    wire::{PeerAnswer, PeerQuestion, decode, encode},
};
use crossbeam::channel::Sender;

/// Time that an answer made at the deadline needs to come back. The guarding
/// node ends a request at the deadline itself; waiting exactly as long would
/// lose its more precise answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);

/// Tells the guarding node that the caller left, unless an answer came.
#[derive(Debug)]
struct CancelOnDrop {
    guard: Sender<GuardEvent>,
    links: Arc<LinkPool>,
    target: MemberRow,
    own: InstanceName,
    request_id: String,
    armed: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let (request_id, from) = (std::mem::take(&mut self.request_id), self.own.clone());
        if self.target.instance == self.own {
            let _ = self.guard.try_send(GuardEvent::Cancel { request_id, from });
            return;
        }
        let question = encode(&PeerQuestion::Cancel { request_id, from });
        // Best effort: when it is lost the deadline ends the request.
        if let Ok(link) = self.links.link(self.target.data_addr) {
            let _ = link.ask(&question, Instant::now() + ANSWER_MARGIN);
        }
    }
}

/// Asks the node beside `target` and waits until `deadline`.
///
/// When the returned future is dropped, the request is cancelled.
pub async fn ask(
    state: &FrontState,
    target: &MemberRow,
    question: PeerQuestion,
    deadline: Instant,
) -> Result<PeerAnswer, LinkError> {
    let request_id = match &question {
        PeerQuestion::Run(request) => Some(request.request_id.clone()),
        _ => None,
    };
    let mut cancel = CancelOnDrop {
        guard: state.guard.clone(),
        links: Arc::clone(&state.links),
        target: target.clone(),
        own: state.own.clone(),
        armed: request_id.is_some(),
        request_id: request_id.unwrap_or_default(),
    };
    let give_up = deadline + ANSWER_MARGIN;
    let result = if target.instance == state.own {
        ask_own(state, question, give_up).await
    } else {
        ask_peer(state, target, question, give_up).await
    };
    cancel.armed &= matches!(result, Err(LinkError::TimedOut));
    drop(cancel);
    result
}

async fn ask_own(
    state: &FrontState,
    question: PeerQuestion,
    give_up: Instant,
) -> Result<PeerAnswer, LinkError> {
    let (sender, receiver) = oneshot::channel();
    let sink = ReplySink::new(move |answer| {
        let _ = sender.send(answer);
    });
    let event = GuardEvent::from_question(question, sink);
    if let Err(error) = state.guard.try_send(event) {
        error.into_inner().refuse_full();
    }
    let answer = tokio::time::timeout_at(give_up.into(), receiver).await;
    match answer {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(_closed)) => Err(LinkError::Broke),
        Err(_elapsed) => Err(LinkError::TimedOut),
    }
}

async fn ask_peer(
    state: &FrontState,
    target: &MemberRow,
    question: PeerQuestion,
    give_up: Instant,
) -> Result<PeerAnswer, LinkError> {
    let link = state.links.link(target.data_addr)?;
    let receiver = link.ask(&encode(&question), give_up)?;
    let message = receiver.await.unwrap_or(Err(LinkError::Broke))?;
    // An answer that can't be read leaves open what happened.
    decode(&message).map_err(|_error| LinkError::Broke)
}
