//! Bound on a response body that a backend server goes on to send after the request's end.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use opentelemetry::metrics::Counter;
use slog::warn;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::event_log::EventLog;

/// Time after the request's end for which a node waits for further bytes of a body, in all. The
/// backend server has stopped work at the request's end; what is left is in its buffers.
const LATE_WAIT_MAX: Duration = Duration::from_secs(2);
/// Longest silence of the backend server after the request's end. Its caller gets the final response
/// within half a second of that end, also by way of another node.
const LATE_SILENCE_MAX: Duration = Duration::from_millis(300);
/// Bytes of a body without a stated length that are read after the request's end.
const LATE_BYTES_MAX: u64 = 4 * 1024 * 1024;
/// Largest stated length of a body that is read to its end. A longer one is cut at the request's end:
/// no reader gets the rest in a useful time.
const PLAUSIBLE_LENGTH_MAX: u64 = 1024 * 1024 * 1024;

/// Reports bodies that were cut because they didn't end.
#[derive(Debug, Clone)]
pub struct EndlessBodyReporter {
    log: EventLog,
    count: Counter<u64>,
}

impl EndlessBodyReporter {
    /// Creates the reporter of a node.
    pub const fn new(log: EventLog, count: Counter<u64>) -> Self {
        Self { log, count }
    }

    fn record(&self, request_id: &str, body: &LateBody) {
        self.count.add(1, &[]);
        warn!(self.log.logger(), "endless response cut";
            "request" => request_id,
            "late_bytes" => body.late_bytes,
            "late_wait_ms" => body.late_wait.as_millis() as u64);
    }
}

/// Bound on a body that a backend server goes on to send after the request's end.
///
/// A response that is ready is delivered also when it is late, at the pace of its reader and of the
/// link: only time spent waiting for the backend server counts. A body without end either lets the
/// node wait, or goes on without a pause; both have a bound.
#[derive(Debug)]
pub(crate) struct LateBody {
    request_id: Box<str>,
    reporter: EndlessBodyReporter,
    /// Time at which the caller gets a final response.
    ends_at: Instant,
    late_bytes_max: u64,
    late_bytes: u64,
    late_wait: Duration,
    waiting_since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

impl LateBody {
    /// Creates the bound of a body of `length` bytes; none if the length isn't stated.
    pub(crate) fn new(
        request_id: &str,
        reporter: EndlessBodyReporter,
        ends_at: Instant,
        length: Option<u64>,
    ) -> Self {
        let late_bytes_max = match length {
            None => LATE_BYTES_MAX,
            Some(length) if length <= PLAUSIBLE_LENGTH_MAX => length,
            Some(_) => 0,
        };
        Self {
            request_id: request_id.into(),
            reporter,
            ends_at,
            late_bytes_max,
            late_bytes: 0,
            late_wait: Duration::ZERO,
            waiting_since: None,
            timer: Box::pin(sleep_until(ends_at)),
        }
    }

    /// Returns whether the body is to be cut at the request's end, and that has come. Otherwise the task
    /// is woken at that time.
    pub(crate) fn poll_end(&mut self, cx: &mut Context<'_>) -> bool {
        if self.late_bytes_max > 0 {
            return false;
        }
        let ended = matches!(self.timer.as_mut().poll(cx), Poll::Ready(()));
        if ended {
            self.reporter.record(&self.request_id, self);
        }
        ended
    }

    /// Records that the node waits for the backend server, and returns whether it has waited too
    /// long, at once or in all. Otherwise the task is woken when it has.
    pub(crate) fn poll_wait(&mut self, cx: &mut Context<'_>) -> bool {
        if self.late_bytes_max == 0 {
            return false;
        }
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        let wait_max = LATE_WAIT_MAX.saturating_sub(self.late_wait);
        let until = since.max(self.ends_at) + wait_max.min(LATE_SILENCE_MAX);
        self.timer.as_mut().reset(until);
        let waited = matches!(self.timer.as_mut().poll(cx), Poll::Ready(()));
        if waited {
            self.end_wait();
            self.reporter.record(&self.request_id, self);
        }
        waited
    }

    /// Records bytes of the backend server, and returns whether the body has sent too many.
    pub(crate) fn record_bytes(&mut self, bytes: usize) -> bool {
        self.end_wait();
        if Instant::now() <= self.ends_at {
            return false;
        }
        self.late_bytes += bytes as u64;
        let is_endless = self.late_bytes > self.late_bytes_max;
        if is_endless {
            self.reporter.record(&self.request_id, self);
        }
        is_endless
    }

    fn end_wait(&mut self) {
        let since = self.waiting_since.take();
        let late_since = since.map(|since| since.max(self.ends_at));
        if let Some(late_since) = late_since {
            self.late_wait += Instant::now().saturating_duration_since(late_since);
        }
    }
}
