//! One admitted request on a worker thread: call, answer, stream.

use std::{
    io::Read,
    sync::Arc,
    time::{Duration, Instant},
};

use geranium_model::ResultCode;

use super::{
    BackendClient, ReplySink, StreamTable,
    backend_client::{BackendReply, CallError},
    stream_table::StreamPart,
};
use crate::wire::{AnswerHead, BodyPart, PeerAnswer, PeerRequest, Refusal};

/// Largest body that travels whole with its head, and size of a part beyond
/// it. At 2 kB a hop costs about 0.1 ms and 4 MB about 8 ms: parts of this size
/// keep a hop under a millisecond.
const PART_BYTES: usize = 262_144;
/// Wait before a busy backend server is asked again, when it named none.
const SHED_RETRY_MS: u32 = 250;

/// How a call to the backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// It answered a ticket's request; the answer is to be kept.
    Whole {
        /// Status and headers.
        head: AnswerHead,
        /// Body.
        body: Vec<u8>,
    },
    /// It answered; the answer is too long to keep, or has no ticket to keep
    /// it for.
    Unkept,
    /// It said that it did not run the request, or wasn't reached.
    NotRun(ResultCode),
    /// The deadline passed while it may have been running.
    TimedOut,
    /// The connection broke while it may have been running.
    Broke {
        /// Whether it takes no connections any more.
        crashed: bool,
    },
}

/// What a worker needs for one request.
#[derive(Debug)]
pub struct BackendCall {
    /// The backend server.
    pub client: BackendClient,
    /// The request.
    pub request: PeerRequest,
    /// Number for a stream, unique on this node.
    pub stream: u64,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Streams of this node.
    pub streams: Arc<StreamTable>,
    /// Time without progress after which a stream is ended.
    pub stall_timeout: Duration,
}

impl BackendCall {
    /// Makes the call, and streams a long body to its end.
    ///
    /// Returns the answer that is still to be given to the asker, if any: the
    /// head of a long body was given already.
    pub fn run(self, sink: ReplySink) -> (CallEnd, Option<(ReplySink, PeerAnswer)>) {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            let end = CallEnd::NotRun(ResultCode::DeadlineBeforeRun);
            let answer = refusal(ResultCode::DeadlineBeforeRun, 0);
            return (end, Some((sink, answer)));
        }
        match self.client.call(&self.request, left) {
            Ok(reply) if reply.not_run => shed(&reply, sink),
            Ok(reply) => self.pass_on(reply, sink),
            Err(CallError::NotSent) => {
                let end = CallEnd::NotRun(ResultCode::NoBackend);
                (end, Some((sink, refusal(ResultCode::NoBackend, 0))))
            }
            Err(CallError::TimedOut) => {
                self.client.cancel(&self.request.request_id);
                let refusal = Refusal::maybe_run(ResultCode::DeadlineWhileRunning);
                (
                    CallEnd::TimedOut,
                    Some((sink, PeerAnswer::Refused(refusal))),
                )
            }
            Err(CallError::Broke) => self.broke(sink),
        }
    }

    fn broke(&self, sink: ReplySink) -> (CallEnd, Option<(ReplySink, PeerAnswer)>) {
        let crashed = !self.client.is_up();
        let refusal = Refusal::maybe_run(ResultCode::BackendBroke);
        (
            CallEnd::Broke { crashed },
            Some((sink, PeerAnswer::Refused(refusal))),
        )
    }

    fn pass_on(
        self,
        mut reply: BackendReply,
        sink: ReplySink,
    ) -> (CallEnd, Option<(ReplySink, PeerAnswer)>) {
        let is_head = self.request.method == "HEAD";
        let expected = if is_head { Some(0) } else { reply.head.length };
        let mut body = BodyReader {
            source: &mut reply.body,
            expected,
            read: 0,
        };
        match body.next_part() {
            Ok(StreamPart::Last(bytes)) => {
                // Only a ticket's answer is kept, so only that is copied.
                let end = match self.request.ticket {
                    Some(_) => CallEnd::Whole {
                        head: reply.head.clone(),
                        body: bytes.clone(),
                    },
                    None => CallEnd::Unkept,
                };
                let answer = PeerAnswer::Answered {
                    head: reply.head,
                    part: BodyPart::Last(bytes),
                };
                (end, Some((sink, answer)))
            }
            Ok(StreamPart::More(bytes)) => {
                self.streams.open(self.stream, bytes.len() as u64);
                let part = BodyPart::More {
                    stream: self.stream,
                    bytes,
                };
                sink.reply(PeerAnswer::Answered {
                    head: reply.head,
                    part,
                });
                let end = self.stream_rest(body);
                (end, None)
            }
            Ok(StreamPart::Broken) | Err(_) => self.broke(sink),
        }
    }

    fn stream_rest(&self, mut body: BodyReader<'_>) -> CallEnd {
        loop {
            let part = body.next_part().unwrap_or(StreamPart::Broken);
            let (ends, broken) = (
                !matches!(part, StreamPart::More(_)),
                matches!(part, StreamPart::Broken),
            );
            let taken = self.streams.put(self.stream, part, self.stall_timeout);
            if broken {
                return CallEnd::Broke {
                    crashed: !self.client.is_up(),
                };
            }
            if !taken {
                self.client.cancel(&self.request.request_id);
            }
            if ends || !taken {
                return CallEnd::Unkept;
            }
        }
    }
}

fn refusal(code: ResultCode, retry_after_ms: u32) -> PeerAnswer {
    PeerAnswer::Refused(Refusal::not_run(code, retry_after_ms))
}

fn shed(reply: &BackendReply, sink: ReplySink) -> (CallEnd, Option<(ReplySink, PeerAnswer)>) {
    let retry_after_ms = reply
        .retry_after_s
        .map_or(SHED_RETRY_MS, |s| s.saturating_mul(1_000));
    let end = CallEnd::NotRun(ResultCode::BackendRefused);
    (
        end,
        Some((sink, refusal(ResultCode::BackendRefused, retry_after_ms))),
    )
}

/// Reads a body part by part and knows whether it is whole.
struct BodyReader<'a> {
    source: &'a mut Box<dyn Read + Send>,
    expected: Option<u64>,
    read: u64,
}

impl BodyReader<'_> {
    /// Reads until a part is full or the body ends.
    ///
    /// A body that ends before its named length is reported as broken: passed
    /// on as if whole, a catalogue would be missing its end.
    fn next_part(&mut self) -> std::io::Result<StreamPart> {
        let mut part = Vec::new();
        let limit = PART_BYTES as u64 + 1;
        let got = (&mut *self.source).take(limit).read_to_end(&mut part)?;
        let mut ended = (got as u64) < limit;
        self.read += part.len() as u64;
        if self.expected.is_some_and(|expected| self.read >= expected) {
            ended = true;
        }
        if !ended {
            return Ok(StreamPart::More(part));
        }
        let whole = self.expected.is_none_or(|expected| expected == self.read);
        Ok(if whole {
            StreamPart::Last(part)
        } else {
            StreamPart::Broken
        })
    }
}
