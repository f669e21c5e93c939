//! One question and its answer on a link.

use std::{
    sync::{Arc, Mutex, PoisonError, Weak},
    time::{Duration, Instant},
};

use crossbeam::queue::ArrayQueue;
use nng::{Aio, AioResult, Context, Message, Socket};
use tokio::sync::oneshot;

use super::LinkError;

type AnswerSender = oneshot::Sender<Result<Message, LinkError>>;

/// Who waits for the answer, and until when.
#[derive(Debug)]
struct Waiter {
    sender: AnswerSender,
    deadline: Instant,
}

/// A reusable context of a REQ socket.
///
/// It goes back to its link's free list when its exchange has ended, whether
/// or not somebody still waits: an answer that comes after its asker left is
/// received and dropped here, and can't reach another asker.
#[derive(Debug)]
pub(super) struct Exchange {
    context: Context,
    aio: Aio,
    waiter: Arc<Mutex<Option<Waiter>>>,
}

impl Exchange {
    pub(super) fn new(
        socket: &Socket,
        index: usize,
        free: Weak<ArrayQueue<usize>>,
    ) -> nng::Result<Self> {
        let context = Context::new(socket)?;
        let waiter = Arc::new(Mutex::new(None));
        let (callback_context, callback_waiter) = (context.clone(), Arc::clone(&waiter));
        let aio = Aio::new(move |aio, result| {
            let ended = on_event(&aio, &callback_context, &callback_waiter, result);
            if ended && let Some(free) = free.upgrade() {
                let _ = free.push(index);
            }
        })?;
        Ok(Self {
            context,
            aio,
            waiter,
        })
    }

    /// Sends `question`; the receiver resolves when the exchange ends.
    pub(super) fn start(
        &self,
        question: &[u8],
        connect_timeout: Duration,
        deadline: Instant,
        sender: AnswerSender,
    ) -> Result<(), LinkError> {
        *lock(&self.waiter) = Some(Waiter { sender, deadline });
        let left = deadline.saturating_duration_since(Instant::now());
        let timeout = connect_timeout.min(left);
        let started = self.aio.set_timeout(Some(timeout)).and_then(|()| {
            self.context
                .send(&self.aio, question)
                .map_err(|(_, error)| error)
        });
        started.map_err(|_error| {
            *lock(&self.waiter) = None;
            LinkError::NotSent
        })
    }

    pub(super) fn close(&self) {
        self.context.close();
    }
}

/// Handles the end of a send or a receive; returns whether the exchange ended.
fn on_event(
    aio: &Aio,
    context: &Context,
    waiter: &Mutex<Option<Waiter>>,
    result: AioResult,
) -> bool {
    match result {
        AioResult::Send(Ok(())) => {
            let deadline = lock(waiter).as_ref().map(|waiter| waiter.deadline);
            let left = deadline.map(|at| at.saturating_duration_since(Instant::now()));
            let received = aio.set_timeout(left).and_then(|()| context.recv(aio));
            if received.is_err() {
                resolve(waiter, Err(LinkError::Broke));
                return true;
            }
            false
        }
        // The socket never handed the question to a connection: a REQ socket
        // reports the send as done before the first byte is written, so an
        // error here proves that no byte left this process.
        AioResult::Send(Err(_)) => {
            resolve(waiter, Err(LinkError::NotSent));
            true
        }
        AioResult::Recv(Ok(message)) => {
            resolve(waiter, Ok(message));
            true
        }
        AioResult::Recv(Err(nng::Error::TimedOut)) => {
            resolve(waiter, Err(LinkError::TimedOut));
            true
        }
        AioResult::Recv(Err(_)) => {
            resolve(waiter, Err(LinkError::Broke));
            true
        }
        AioResult::Sleep(_) => true,
    }
}

fn resolve(waiter: &Mutex<Option<Waiter>>, result: Result<Message, LinkError>) {
    if let Some(waiter) = lock(waiter).take() {
        // The asker may have left; then nobody wants the answer.
        let _ = waiter.sender.send(result);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
