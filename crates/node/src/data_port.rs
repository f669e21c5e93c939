//! The port on which other nodes ask, over `nng` REP.

use std::{net::SocketAddr, sync::Arc};

use nng::{
    Aio, AioResult, Context, Protocol, Socket,
    options::{Options, RecvMaxSize},
};

use crate::{
    guard::ReplySink,
    link::MESSAGE_BYTES_MAX,
    wire::{PeerAnswer, PeerQuestion, Refusal, decode, encode},
};
use geranium_model::ResultCode;

/// Questions that may be unanswered at a time. Admission bounds those that
/// wait far below this, so a free context is always there to take a question
/// and refuse it at once.
const CONTEXTS: usize = 1_024;

/// What happens to a question that arrived.
pub type QuestionHandler = dyn Fn(PeerQuestion, ReplySink) + Send + Sync;

/// A listening REP socket and its contexts.
#[derive(Debug)]
pub struct DataPort {
    socket: Socket,
    contexts: Vec<(Aio, Context)>,
}

impl DataPort {
    /// Listens on `addr` and hands each question to `handler`.
    ///
    /// The handler runs on the library's threads and must not block.
    ///
    /// # Errors
    ///
    /// When the address can't be listened on.
    pub fn open(addr: SocketAddr, handler: &Arc<QuestionHandler>) -> nng::Result<Self> {
        let socket = Socket::new(Protocol::Rep0)?;
        socket.set_opt::<RecvMaxSize>(MESSAGE_BYTES_MAX)?;
        let contexts = (0..CONTEXTS)
            .map(|_| {
                let context = Context::new(&socket)?;
                let handler = Arc::clone(handler);
                let callback_context = context.clone();
                let aio = Aio::new(move |aio, result| {
                    on_event(&aio, &callback_context, &handler, result);
                })?;
                Ok((aio, context))
            })
            .collect::<nng::Result<Vec<_>>>()?;
        socket.listen(&format!("tcp://{addr}"))?;
        for (aio, context) in &contexts {
            context.recv(aio)?;
        }
        Ok(Self { socket, contexts })
    }

    /// Stops taking questions; answers under way are lost.
    pub fn close(&self) {
        for (_, context) in &self.contexts {
            context.close();
        }
        self.socket.close();
    }
}

fn on_event(aio: &Aio, context: &Context, handler: &Arc<QuestionHandler>, result: AioResult) {
    match result {
        AioResult::Recv(Ok(message)) => {
            let (reply_aio, reply_context) = (aio.clone(), context.clone());
            let sink = ReplySink::new(move |answer: PeerAnswer| {
                // A failed send means that the asker's connection is gone.
                let bytes = encode(&answer);
                if reply_context.send(&reply_aio, bytes.as_slice()).is_err() {
                    let _ = reply_context.recv(&reply_aio);
                }
            });
            match decode::<PeerQuestion>(&message) {
                Ok(question) => handler(question, sink),
                Err(_) => sink.reply(PeerAnswer::Refused(Refusal::not_run(
                    ResultCode::BadRequest,
                    0,
                ))),
            }
        }
        AioResult::Recv(Err(nng::Error::Closed)) | AioResult::Sleep(_) => {}
        AioResult::Send(_) | AioResult::Recv(Err(_)) => {
            let _ = context.recv(aio);
        }
    }
}
