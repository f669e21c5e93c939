//! Path of a request through the inbound proxy to the backend server and back.

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
    sync::{Notify, Semaphore, oneshot},
    task::spawn_local,
    time::{Instant, sleep_until, timeout_at},
};

use super::{
    AdmissionQueue, EndpointBreaker, EndpointTracker, InboundRefusal, InboundRequest,
    NestedCallDetector, QueueKey, RefusalReason, slot_wait::SlotOffer,
};
use crate::{
    boot_clock::BootClock,
    crash::{BreakDiagnosis, BrokenRuns, CrashHistory},
    header_names::HeaderNames,
    link::LinkScheduler,
    member::{EndpointStart, LoadReport, ResponseSizes},
    node_clock::NodeClock,
    outbound::RETRY_AFTER_KEY_UNPROVEN,
    pace::{FinishedRun, PaceReporter, PaceWatch},
    rate_limit::{LimitTracker, LimitUsage, NoticeReporter},
    request_origin::RequestOrigin,
    response_body::ResponseBody,
    rollout::RunLedger,
    transport::{ConnectionPool, PoolSettings},
};

/// Timeout for connecting to the local backend server. Connecting takes a millisecond unless the
/// server is overloaded or unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest idle time of a connection that is reused for idempotent requests. Backend servers close
/// idle connections after about ten seconds, some without notice.
pub(super) const IDLE_TIMEOUT_IDEMPOTENT: Duration = Duration::from_secs(4);
/// Longest idle time of a connection that is reused for other requests. A request that crosses the
/// closing of its connection can't be resent, and a new connection costs only a millisecond.
pub(super) const IDLE_TIMEOUT_NON_IDEMPOTENT: Duration = Duration::from_secs(1);
/// Time after the end of a request until which the inbound proxy waits for a response. Usually the
/// sender cancels the request first.
const RESPONSE_GRACE_TIME: Duration = Duration::from_millis(100);
/// Advised retry delay after a refusal that isn't about load. The sender tries another node at
/// once.
pub(super) const RETRY_OTHER_NODE_AFTER: Duration = Duration::from_millis(50);

/// Settings of an inbound proxy.
#[derive(Debug, Clone)]
pub struct InboundSettings {
    /// Address of the backend server.
    pub endpoint: SocketAddr,
    /// Number of slots assumed until the backend server reports its own.
    pub slots: u32,
    /// Time for which a leaving backend server still accepts requests. Its announcement reaches
    /// the other nodes in this time.
    pub leaving_grace: Duration,
}

/// Failure of a request at the inbound proxy.
#[derive(Debug, Snafu)]
pub enum InboundError {
    /// The request certainly didn't run.
    #[snafu(display("refused: {refusal}"))]
    Refused {
        /// Reason of the refusal and advised retry delay.
        refusal: InboundRefusal,
    },
    /// The request may have run, but there is no usable response.
    #[snafu(display("broke: {reason}"))]
    ResponseLost {
        /// Description of the failure, for the log.
        reason: String,
        /// Diagnosis of the backend server, if its connection broke.
        diagnosis: Option<BreakDiagnosis>,
    },
}

/// State that the inbound proxy shares with the slots in use.
#[derive(Debug)]
pub(super) struct InboundState {
    pub(super) endpoint_pool: ConnectionPool,
    pub(super) clock: NodeClock,
    pub(super) link: Rc<LinkScheduler>,
    pub(super) response_sizes: RefCell<ResponseSizes>,
    pub(super) queue: RefCell<AdmissionQueue>,
    pub(super) waiters: RefCell<HashMap<QueueKey, oneshot::Sender<SlotOffer>>>,
    /// Number of slots in use, and of long responses in transfer.
    pub(super) open_slots: Cell<u32>,
    /// Time for which a timer is set to start the next request that waits for the limit.
    limited_start_at: Cell<Option<Duration>>,
}

impl InboundState {
    /// Frees a slot and wakes the requests that start next.
    pub(super) fn finish(self: &Rc<Self>, route_hash: u64, took: Option<Duration>) {
        self.finish_run(FinishedRun::new(route_hash, took));
    }

    /// Frees the slot of an ended run and wakes the requests that start next.
    pub(super) fn finish_run(self: &Rc<Self>, run: FinishedRun) {
        let now = self.clock.now();
        let granted = self.queue.borrow_mut().finish_run(now, run);
        self.wake(granted);
    }

    /// Resumes starts and wakes the requests that start next.
    pub(super) fn resume_starts(self: &Rc<Self>) {
        let granted = self.queue.borrow_mut().resume_starts(self.clock.now());
        self.wake(granted);
    }

    /// Wakes requests that have been granted a slot, and schedules the next limited start.
    pub(super) fn wake(self: &Rc<Self>, granted: Vec<QueueKey>) {
        for key in granted {
            let waiter = self.waiters.borrow_mut().remove(&key);
            // A waiter that has just been dropped frees its slot itself.
            if let Some(waiter) = waiter {
                let _gone = waiter.send(SlotOffer::Granted);
            }
        }
        self.schedule_limited_start();
    }

    /// Refuses the requests that were removed from the queue.
    pub(super) fn refuse_displaced(&self) {
        let displaced_requests = self.queue.borrow_mut().take_displaced();
        for displaced in displaced_requests {
            let waiter = self.waiters.borrow_mut().remove(&displaced.key);
            // A waiter that has just been dropped needs no refusal.
            if let Some(waiter) = waiter {
                let _gone = waiter.send(SlotOffer::Displaced {
                    retry_after: displaced.retry_after,
                });
            }
        }
    }

    /// Sets a timer for the next request that waits for the limit, unless one is set already.
    pub(super) fn schedule_limited_start(self: &Rc<Self>) {
        let next_start = self.queue.borrow().next_limited_start(self.clock.now());
        let Some(start_at) = next_start else {
            return;
        };
        if self
            .limited_start_at
            .get()
            .is_some_and(|set| set <= start_at)
        {
            return;
        }
        self.limited_start_at.set(Some(start_at));
        let inner = Rc::clone(self);
        spawn_local(async move {
            sleep_until(inner.clock.instant_of(start_at)).await;
            inner.limited_start_at.set(None);
            let now = inner.clock.now();
            let granted = inner.queue.borrow_mut().resume_limited(now);
            inner.wake(granted);
        });
    }
}

/// Inbound proxy: the only path to the backend server beside this node.
#[derive(Debug)]
pub struct InboundProxy {
    pub(super) inner: Rc<InboundState>,
    pub(super) settings: InboundSettings,
    pub(super) headers: HeaderNames,
    pub(super) tracker: RefCell<EndpointTracker>,
    pub(super) broken: BrokenRuns,
    pub(super) crashes: Rc<RefCell<CrashHistory>>,
    /// Its only permit allows one suspect of a crash to run.
    pub(super) suspect_semaphore: Semaphore,
    pub(super) breaker: RefCell<EndpointBreaker>,
    pub(super) nested_call_detector: RefCell<NestedCallDetector>,
    stopping_since: Cell<Option<Duration>>,
    /// Time at which responses to other nodes have to be sent; none unless this node stops.
    responses_end_at: Cell<Option<Duration>>,
    /// Start from which a rollout keeps requests away; none if it doesn't.
    pub(super) suspended_start: RefCell<Option<EndpointStart>>,
    /// Time from which requests for the suspended start are refused.
    pub(super) suspended_from: Cell<Duration>,
    pub(super) ledger: RefCell<RunLedger>,
    /// Limit that the current start of the backend server names.
    pub(super) limit: RefCell<LimitTracker>,
    pub(super) limit_usage: RefCell<LimitUsage>,
    pub(super) notice_reporter: NoticeReporter,
    pub(super) pace_reporter: PaceReporter,
    pub(super) pace_watch: RefCell<PaceWatch>,
    /// Start of the backend server whose malformed load was logged.
    pub(super) malformed_load_of: RefCell<Option<EndpointStart>>,
    /// Wakes the announcer when the backend server says in a response that it leaves.
    pub(super) announcement_changed: Rc<Notify>,
}

impl InboundProxy {
    /// Creates an inbound proxy that refuses requests until the backend server reports.
    pub fn new(
        settings: InboundSettings,
        headers: HeaderNames,
        clock: NodeClock,
        link: Rc<LinkScheduler>,
        crashes: Rc<RefCell<CrashHistory>>,
        notice_reporter: NoticeReporter,
        announcement_changed: Rc<Notify>,
    ) -> Self {
        let endpoint_pool = ConnectionPool::new(PoolSettings {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT_IDEMPOTENT,
        });
        let inner = InboundState {
            endpoint_pool,
            clock,
            link,
            response_sizes: RefCell::default(),
            queue: RefCell::new(AdmissionQueue::new(settings.slots)),
            waiters: RefCell::default(),
            open_slots: Cell::new(0),
            limited_start_at: Cell::new(None),
        };
        Self {
            inner: Rc::new(inner),
            settings,
            headers,
            tracker: RefCell::default(),
            broken: BrokenRuns::default(),
            crashes,
            suspect_semaphore: Semaphore::new(1),
            breaker: RefCell::default(),
            nested_call_detector: RefCell::default(),
            stopping_since: Cell::new(None),
            responses_end_at: Cell::new(None),
            suspended_start: RefCell::default(),
            suspended_from: Cell::default(),
            ledger: RefCell::default(),
            limit: RefCell::default(),
            limit_usage: RefCell::default(),
            pace_reporter: notice_reporter.pace_reporter(),
            notice_reporter,
            pace_watch: RefCell::default(),
            malformed_load_of: RefCell::default(),
            announcement_changed,
        }
    }

    /// Returns the tracker of the backend server's starts, which processes its reports.
    pub fn tracker(&self) -> &RefCell<EndpointTracker> {
        &self.tracker
    }

    /// Returns the detector of the backend server's nested calls.
    pub const fn nested_call_detector(&self) -> &RefCell<NestedCallDetector> {
        &self.nested_call_detector
    }

    /// Whether the breaker is open: the backend server has broken many runs in a row, and gets only
    /// trials.
    pub fn is_breaker_open(&self) -> bool {
        self.breaker.borrow().is_open()
    }

    /// Returns the runs whose connection broke.
    pub const fn broken_runs(&self) -> &BrokenRuns {
        &self.broken
    }

    /// Sets the number of slots, and starts queued requests in those that were added.
    pub fn set_slots(&self, slots: u32) {
        let now = self.inner.clock.now();
        let granted = self.inner.queue.borrow_mut().set_slots(now, slots);
        self.inner.wake(granted);
    }

    /// Starts refusing requests of other nodes after [`InboundSettings::leaving_grace`]. In this
    /// time they learn that this node is stopping. Responses to them have to be sent by
    /// `responses_end_at`.
    pub fn stop(&self, responses_end_at: Duration) {
        self.stopping_since.set(Some(self.inner.clock.now()));
        self.responses_end_at.set(Some(responses_end_at));
    }

    /// Bounds the end of another node's request by that of this node, which may have begun to stop
    /// while the request waited.
    fn bound_end(&self, request: &mut InboundRequest) {
        if let Some(end) = self.responses_end_at.get()
            && request.origin() == RequestOrigin::Node
        {
            let end = self.inner.clock.instant_of(end);
            request.ends_at = request.ends_at.min(end);
        }
    }

    /// Whether requests of other nodes are refused.
    pub fn refuses_peers(&self) -> bool {
        let now = self.inner.clock.now();
        let since = self.stopping_since.get();
        since.is_some_and(|since| now >= since + self.settings.leaving_grace)
    }

    /// Whether a request from this machine is probably a nested call of a run that has begun.
    pub fn is_call_of_run(&self, route_hash: u64) -> bool {
        self.inner.queue.borrow().running() > 0
            && self
                .nested_call_detector
                .borrow()
                .is_nested_call(route_hash)
    }

    /// Returns the load of the backend server, for senders of requests of a route.
    pub fn load(&self, route_hash: u64) -> LoadReport {
        let limit = self.limit_load();
        let queue = self.inner.queue.borrow();
        let now = self.inner.clock.now();
        LoadReport {
            running: queue.running() + queue.elsewhere(now),
            waiting: queue.waiting(),
            mean_run_time: queue.expected_run_time(now),
            route_run_time: queue.expected_run_time_of(now, route_hash),
            link_backlog: self.inner.link.schedule().backlog(now),
            limit,
            pace: queue.pace(now),
        }
    }

    /// Closes the idle connections to a start of the backend server that has ended. A request sent
    /// on one of them is lost, and can't be resent unless it is idempotent.
    pub fn close_idle_connections(&self) {
        // Broken runs of the ended start say nothing about the next one.
        self.breaker.borrow_mut().record_response();
        self.inner.endpoint_pool.close_idle(self.settings.endpoint);
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self) {
        self.inner.endpoint_pool.sweep();
    }

    /// Runs a request at the backend server and returns its response.
    ///
    /// Dropping the future withdraws the request from the queue, or closes the connection on which
    /// it runs.
    ///
    /// # Errors
    ///
    /// The error says whether the request may have run.
    pub async fn run(
        &self,
        mut request: InboundRequest,
        idempotent: bool,
    ) -> Result<Response<ResponseBody>, InboundError> {
        let permit = self.admit_fingerprint(&request).await?;
        let start = self.admit(&request)?;
        self.adopt_limit_hint(&start, request.limit_hint);
        let link_admission = self.reserve_link(&request)?;
        let slot = self.wait_for_slot(&request).await?;
        self.bound_end(&mut request);
        // While this request waited, it may have become a suspect of a crash on another node, or
        // the local backend server may have begun to leave.
        let permit = match permit {
            Some(permit) => Some(permit),
            None => self.admit_fingerprint(&request).await?,
        };
        let _pause = permit.as_ref().and_then(|_| self.pause_starts());
        self.admit(&request)?;
        admit_by_proof(&request)?;
        self.admit_by_breaker()?;
        let ends_at = request.ends_at + RESPONSE_GRACE_TIME;
        let (route_hash, fingerprint) = (request.route_hash, request.fingerprint);
        let request_id = self.request_id_of(&request);
        let unscheduled = self.unscheduled_response(&request);
        let began = Instant::now();
        let running = self.call(request, idempotent, slot, start.clone());
        let response = timeout_at(ends_at, running).await;
        if let Ok(result) = &response {
            self.record_run(result);
        }
        self.count_run(&start, route_hash, began, response.as_ref().ok());
        let response = response.unwrap_or_else(|_elapsed| response_lost("no answer in time"))?;
        if response.status().is_success() {
            self.crashes.borrow_mut().record_completion(fingerprint);
        }
        self.record_response_size(route_hash, &link_admission, &response);
        let bytes = response.body().size_hint().exact();
        let reservation = link_admission.reservation;
        let reservation = reservation.or_else(|| self.schedule_long_response(unscheduled?, bytes?));
        let response = self.bound_stream(response, request_id.as_ref(), ends_at);
        Ok(response.map(|body| body.with_reservation(reservation)))
    }

    fn admit_by_breaker(&self) -> Result<(), InboundError> {
        let admitted = self.breaker.borrow_mut().admit(self.inner.clock.now());
        admitted.or_else(|wait| refused(RefusalReason::EndpointDown, wait))
    }

    /// Tells the breaker how a run ended. A refusal says nothing about the backend server.
    fn record_run(&self, result: &Result<Response<ResponseBody>, InboundError>) {
        let mut breaker = self.breaker.borrow_mut();
        match result {
            Ok(_) => breaker.record_response(),
            Err(InboundError::ResponseLost { .. }) => breaker.record_break(self.inner.clock.now()),
            Err(InboundError::Refused { .. }) => {}
        }
    }

    fn admit(&self, request: &InboundRequest) -> Result<EndpointStart, InboundError> {
        if self.refuses_by_rollout() {
            return refused(RefusalReason::Leaving, RETRY_OTHER_NODE_AFTER);
        }
        let tracker = self.tracker.borrow();
        let grace = self.settings.leaving_grace;
        let now = self.inner.clock.now();
        match tracker.admits(now, request.instance.as_deref(), grace) {
            Ok(current) => Ok(current.report.start.clone()),
            Err(reason) => refused(reason, RETRY_OTHER_NODE_AFTER),
        }
    }
}

/// Refuses a request with a key that has waited until its proof of freshness is too old.
fn admit_by_proof(request: &InboundRequest) -> Result<(), InboundError> {
    let valid_until = request.valid_until;
    if valid_until.is_some_and(|until| BootClock::now() >= until) {
        return refused(RefusalReason::KeyUnproven, RETRY_AFTER_KEY_UNPROVEN);
    }
    Ok(())
}

pub(super) fn refused<T>(reason: RefusalReason, retry_after: Duration) -> Result<T, InboundError> {
    let refusal = InboundRefusal {
        reason,
        retry_after,
    };
    Err(InboundError::Refused { refusal })
}

pub(super) fn response_lost<T>(reason: impl Into<String>) -> Result<T, InboundError> {
    let reason = reason.into();
    let diagnosis = None;
    Err(InboundError::ResponseLost { reason, diagnosis })
}
