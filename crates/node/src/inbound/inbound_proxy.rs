//! The path of a request from the inbound proxy to the backend server and back.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use http::Response;
use hyper::body::Body;
use snafu::Snafu;
use tokio::{
    sync::{Semaphore, oneshot},
    time::timeout_at,
};

use super::{
    AdmissionQueue, EndpointBreaker, EndpointTracker, InboundRefusal, InboundRequest,
    NestedCallDetector, QueueKey, RefusalReason,
};
use crate::{
    crash::{BreakDiagnosis, BrokenRuns, CrashHistory},
    header_names::HeaderNames,
    link::LinkScheduler,
    member::{EndpointStart, LoadReport, ResponseSizes},
    node_clock::NodeClock,
    response_body::ResponseBody,
    transport::{ConnectionPool, PoolSettings},
};

/// Longest time to open a connection to the backend server on this machine;
/// it takes a millisecond unless the server is overloaded or dark.
const CONNECT_TIME: Duration = Duration::from_millis(250);
/// Longest use of an idle connection for what may run twice. Backend servers
/// close idle connections after about ten seconds, some without notice.
pub(super) const IDLE_REPEATABLE: Duration = Duration::from_secs(4);
/// Longest use of an idle connection for what must not run twice: a request
/// that crosses a close can't be sent again, and a new connection costs only a
/// millisecond.
pub(super) const IDLE_ONCE: Duration = Duration::from_secs(1);
/// Time beyond the caller's after which the backend server is given up on;
/// usually the sender's cancel comes first.
const OVERTIME: Duration = Duration::from_millis(100);
/// Advice after a refusal that isn't about load: another node is asked at once.
pub(super) const RETRY_ELSEWHERE: Duration = Duration::from_millis(50);

/// Settings of an inbound proxy.
#[derive(Debug, Clone)]
pub struct InboundSettings {
    /// Address of the backend server.
    pub endpoint: SocketAddr,
    /// Slots assumed until the backend server tells.
    pub slots: u32,
    /// How long a leaving backend server still takes work, in which the news
    /// reaches the other nodes.
    pub leaving_grace: Duration,
}

/// Failure at the inbound proxy.
#[derive(Debug, Snafu)]
pub enum InboundError {
    /// The request certainly didn't run.
    #[snafu(display("refused: {refusal}"))]
    Refused {
        /// Reason and advice.
        refusal: InboundRefusal,
    },
    /// The request may have run; there is no usable answer.
    #[snafu(display("broke: {reason}"))]
    ResponseLost {
        /// What was met.
        reason: String,
        /// What was found of the backend server, where its connection broke.
        diagnosis: Option<BreakDiagnosis>,
    },
}

/// State of the inbound proxy.
#[derive(Debug)]
pub(super) struct InboundState {
    pub(super) endpoints: ConnectionPool,
    pub(super) clock: NodeClock,
    pub(super) link: Rc<LinkScheduler>,
    pub(super) response_sizes: RefCell<ResponseSizes>,
    pub(super) queue: RefCell<AdmissionQueue>,
    pub(super) waiters: RefCell<HashMap<QueueKey, oneshot::Sender<()>>>,
}

impl InboundState {
    /// Frees a slot and starts who is next.
    pub(super) fn finish(&self, route_hash: u64, took: Option<Duration>) {
        let granted = self
            .queue
            .borrow_mut()
            .finish(self.clock.now(), route_hash, took);
        self.wake(granted);
    }

    fn wake(&self, granted: Vec<QueueKey>) {
        for key in granted {
            let waiter = self.waiters.borrow_mut().remove(&key);
            // A waiter that has just gone frees its slot itself.
            if let Some(waiter) = waiter {
                let _gone = waiter.send(());
            }
        }
    }
}

/// The only way in to the backend server beside this node.
#[derive(Debug)]
pub struct InboundProxy {
    pub(super) inner: Rc<InboundState>,
    pub(super) settings: InboundSettings,
    pub(super) headers: HeaderNames,
    pub(super) tracker: RefCell<EndpointTracker>,
    pub(super) broken: BrokenRuns,
    pub(super) crashes: Rc<RefCell<CrashHistory>>,
    /// Held while a request runs that was running when a backend server crashed.
    pub(super) suspect_turn: Semaphore,
    pub(super) breaker: RefCell<EndpointBreaker>,
    pub(super) nested_calls: RefCell<NestedCallDetector>,
    stopping_since: Cell<Option<Duration>>,
}

impl InboundProxy {
    /// Makes an inbound proxy that is shut until the backend server reports.
    pub fn new(
        settings: InboundSettings,
        headers: HeaderNames,
        clock: NodeClock,
        link: Rc<LinkScheduler>,
        crashes: Rc<RefCell<CrashHistory>>,
    ) -> Self {
        let endpoints = ConnectionPool::new(PoolSettings {
            connect_time: CONNECT_TIME,
            idle_time: IDLE_REPEATABLE,
        });
        let inner = InboundState {
            endpoints,
            clock,
            link,
            response_sizes: RefCell::default(),
            queue: RefCell::new(AdmissionQueue::new(settings.slots)),
            waiters: RefCell::default(),
        };
        Self {
            inner: Rc::new(inner),
            settings,
            headers,
            tracker: RefCell::default(),
            broken: BrokenRuns::default(),
            crashes,
            suspect_turn: Semaphore::new(1),
            breaker: RefCell::default(),
            nested_calls: RefCell::default(),
            stopping_since: Cell::new(None),
        }
    }

    /// Returns the gate, to report to it.
    pub fn tracker(&self) -> &RefCell<EndpointTracker> {
        &self.tracker
    }

    /// Returns what is known of the backend server's calls.
    pub const fn nested_calls(&self) -> &RefCell<NestedCallDetector> {
        &self.nested_calls
    }

    /// Whether the backend server has broken so many runs in a row that nothing but
    /// trials is sent to it.
    pub fn is_breaker_open(&self) -> bool {
        self.breaker.borrow().is_open()
    }

    /// Returns the runs whose connection broke.
    pub const fn broken_runs(&self) -> &BrokenRuns {
        &self.broken
    }

    /// Takes the number of slots that the backend server reports.
    pub fn set_slots(&self, slots: u32) {
        let now = self.inner.clock.now();
        let granted = self.inner.queue.borrow_mut().set_slots(now, slots);
        self.inner.wake(granted);
    }

    /// Refuses what comes from other nodes, once they have had time to hear
    /// that this one stops.
    pub fn stop(&self) {
        self.stopping_since.set(Some(self.inner.clock.now()));
    }

    /// Whether requests of other nodes are refused.
    pub fn refuses_peers(&self) -> bool {
        let now = self.inner.clock.now();
        let since = self.stopping_since.get();
        since.is_some_and(|since| now >= since + self.settings.leaving_grace)
    }

    /// Returns the load of the backend server, as whoever asks for runs of
    /// `route_hash` needs it.
    pub fn load(&self, route_hash: u64) -> LoadReport {
        let queue = self.inner.queue.borrow();
        LoadReport {
            running: queue.running(),
            waiting: queue.waiting(),
            service: queue.service(),
            run: queue.service_of(route_hash),
            link: self.inner.link.schedule().backlog(self.inner.clock.now()),
        }
    }

    /// Closes the idle connections to the backend server, which belong to a
    /// start that has ended: what is sent on one is lost, and what must not
    /// repeat can't be sent again.
    pub fn forget_connections(&self) {
        // Breaks of the start that has ended say nothing of the next.
        self.breaker.borrow_mut().answered();
        self.inner.endpoints.forget(self.settings.endpoint);
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        self.inner.endpoints.sweep();
    }

    /// Runs a request at the backend server.
    ///
    /// Dropping the future withdraws the request from the queue, or closes the
    /// connection that carries it.
    ///
    /// # Errors
    ///
    /// Whether it may have run.
    pub async fn run(
        &self,
        request: InboundRequest,
        idempotent: bool,
    ) -> Result<Response<ResponseBody>, InboundError> {
        let turn = self.admit_fingerprint(&request).await?;
        let start = self.admit(&request)?;
        let reservation = self.reserve_link(&request)?;
        let slot = self.wait_for_slot(&request).await?;
        // A backend server may have crashed meanwhile, or this one begun to leave.
        let _turn = match turn {
            Some(turn) => Some(turn),
            None => self.admit_fingerprint(&request).await?,
        };
        self.admit(&request)?;
        self.admit_by_breaker()?;
        let ends_at = request.ends_at + OVERTIME;
        let (route_hash, fingerprint) = (request.route_hash, request.fingerprint);
        let unscheduled = self.unscheduled_answer(&request);
        let answer = timeout_at(ends_at, self.call(request, idempotent, slot, start)).await;
        if let Ok(result) = &answer {
            self.note_run(result);
        }
        let answer = answer.unwrap_or_else(|_elapsed| broke("no answer in time"))?;
        if answer.status().is_success() {
            self.crashes.borrow_mut().completed(fingerprint);
        }
        let bytes = answer.body().size_hint().exact();
        if let Some(bytes) = bytes {
            self.inner
                .response_sizes
                .borrow_mut()
                .observe(route_hash, bytes);
        }
        let reservation = reservation.or_else(|| self.schedule_long_response(unscheduled?, bytes?));
        Ok(answer.map(|body| body.with_reservation(reservation)))
    }

    fn admit_by_breaker(&self) -> Result<(), InboundError> {
        let admitted = self.breaker.borrow_mut().admit(self.inner.clock.now());
        admitted.or_else(|wait| refused(RefusalReason::EndpointDown, wait))
    }

    /// Tells the breaker how a run ended. A refusal says nothing.
    fn note_run(&self, result: &Result<Response<ResponseBody>, InboundError>) {
        let mut breaker = self.breaker.borrow_mut();
        match result {
            Ok(_) => breaker.answered(),
            Err(InboundError::ResponseLost { .. }) => breaker.broke(self.inner.clock.now()),
            Err(InboundError::Refused { .. }) => {}
        }
    }

    fn admit(&self, request: &InboundRequest) -> Result<EndpointStart, InboundError> {
        let tracker = self.tracker.borrow();
        let grace = self.settings.leaving_grace;
        let now = self.inner.clock.now();
        match tracker.admits(now, request.instance.as_deref(), grace) {
            Ok(current) => Ok(current.report.start.clone()),
            Err(reason) => refused(reason, RETRY_ELSEWHERE),
        }
    }
}

pub(super) fn refused<T>(reason: RefusalReason, retry_after: Duration) -> Result<T, InboundError> {
    let refusal = InboundRefusal {
        reason,
        retry_after,
    };
    Err(InboundError::Refused { refusal })
}

pub(super) fn broke<T>(reason: impl Into<String>) -> Result<T, InboundError> {
    let reason = reason.into();
    let diagnosis = None;
    Err(InboundError::ResponseLost { reason, diagnosis })
}
