//! The link's schedule, shared by the responses in progress.

use std::{
    cell::{RefCell, RefMut},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    task::Waker,
    time::Duration,
};

use http::HeaderValue;

use super::{
    LinkDecision, LinkReporter, LinkReservation, LinkSchedule, LinkTraffic, LinkUsage,
    ReceiverEnds, ReservationRequest, TransferKey, TransferRecord,
};
use crate::node_clock::NodeClock;

/// Interval between reports of the link's usage.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The link's schedule, and the tasks that wait for a turn.
#[derive(Debug)]
pub struct LinkScheduler {
    schedule: RefCell<LinkSchedule>,
    receiver_ends: RefCell<ReceiverEnds>,
    wakers: RefCell<HashMap<TransferKey, Waker>>,
    usage: RefCell<LinkUsage>,
    reporter: LinkReporter,
}

impl LinkScheduler {
    /// Creates the scheduler of an idle link with a rate in megabits per second.
    pub fn new(link_mbps: f64, reporter: LinkReporter) -> Self {
        Self {
            schedule: RefCell::new(LinkSchedule::new(link_mbps)),
            receiver_ends: RefCell::default(),
            wakers: RefCell::default(),
            usage: RefCell::default(),
            reporter,
        }
    }

    /// Borrows the schedule; panics if it is borrowed already.
    pub fn schedule(&self) -> RefMut<'_, LinkSchedule> {
        self.schedule.borrow_mut()
    }

    /// Reserves the link for a long response, if it can arrive in time.
    ///
    /// # Errors
    ///
    /// Returns the time after which a reservation is possible.
    pub fn reserve(
        self: &Rc<Self>,
        clock: NodeClock,
        request_id: Option<HeaderValue>,
        reservation_request: ReservationRequest,
    ) -> Result<LinkReservation, Duration> {
        let now = clock.now();
        let decision = self.schedule().reserve(now, reservation_request);
        match decision {
            LinkDecision::Reserved(key) => {
                self.usage.borrow_mut().reserved += 1;
                let transfer = TransferRecord::new(request_id, now, reservation_request);
                Ok(LinkReservation::new(self, clock, key, transfer))
            }
            LinkDecision::Refused { retry_after } => {
                self.usage.borrow_mut().refused += 1;
                Err(retry_after)
            }
        }
    }

    /// Whether a response couldn't arrive in time on an idle link either.
    pub fn exceeds_link(&self, clock: NodeClock, request: ReservationRequest) -> bool {
        self.schedule().exceeds_link(clock.now(), request)
    }

    /// Reserves the link for a long response that is ready, without checking its capacity.
    pub fn reserve_unchecked(
        self: &Rc<Self>,
        clock: NodeClock,
        request_id: Option<HeaderValue>,
        reservation_request: ReservationRequest,
    ) -> LinkReservation {
        let key = self.schedule().reserve_unchecked(reservation_request);
        let transfer = TransferRecord::new(request_id, clock.now(), reservation_request);
        LinkReservation::new(self, clock, key, transfer)
    }

    /// Bounds all transfers by the end of this node, and returns how many it changes.
    ///
    /// The bound holds for later transfers, too.
    pub fn bound_by_own_end(&self, ends_at: Duration) -> usize {
        self.receiver_ends.borrow_mut().record_own_end(ends_at);
        self.bound_ends(ends_at, |_| true)
    }

    /// Bounds the transfers to `receiver` by its end, and returns how many it changes.
    ///
    /// The bound holds for later transfers of requests that have arrived, too.
    pub fn bound_by_end_of(&self, now: Duration, receiver: SocketAddr, ends_at: Duration) -> usize {
        self.receiver_ends
            .borrow_mut()
            .record_end(now, receiver, ends_at);
        self.bound_ends(ends_at, |to| to == Some(receiver))
    }

    /// Returns the end of a response to a request that arrived at `arrived_at`, as
    /// [`ReceiverEnds::bound`] says.
    pub fn bound_end(
        &self,
        receiver: Option<SocketAddr>,
        arrived_at: Duration,
        ends_at: Duration,
    ) -> Duration {
        self.receiver_ends
            .borrow()
            .bound(receiver, arrived_at, ends_at)
    }

    fn bound_ends(
        &self,
        ends_at: Duration,
        is_bounded: impl Fn(Option<SocketAddr>) -> bool,
    ) -> usize {
        let keys = self.schedule().bound_ends(ends_at, is_bounded);
        for key in &keys {
            let waker = self.wakers.borrow_mut().remove(key);
            if let Some(waker) = waker {
                waker.wake();
            }
        }
        keys.len()
    }

    /// Records bytes that were sent without a reservation.
    pub fn record_sent(&self, now: Duration, traffic: LinkTraffic, bytes: u64) {
        self.schedule().record_sent(now, bytes);
        self.usage.borrow_mut().record_sent(traffic, bytes);
    }

    /// Records sent bytes of a reserved transfer.
    pub(super) fn record_sent_of(&self, now: Duration, key: TransferKey, bytes: u64) {
        self.schedule().record_sent_of(now, key, bytes);
        self.usage
            .borrow_mut()
            .record_sent(LinkTraffic::LongAway, bytes);
    }

    /// Records how a reserved transfer ended.
    pub(super) fn record_transfer_end(&self, now: Duration, transfer: &TransferRecord) {
        self.usage.borrow_mut().record_outcome(transfer.outcome());
        self.reporter.record_transfer_end(now, transfer);
    }

    /// Reports the use of the link since the last report, at most once a second.
    pub fn report_usage(&self, now: Duration) {
        let taken = self.usage.borrow_mut().take_after(now, REPORT_INTERVAL);
        if let Some((usage, time)) = taken {
            let schedule = self.schedule();
            let (rate, backlog) = (schedule.bytes_per_s(), schedule.backlog(now));
            drop(schedule);
            self.reporter.record_usage(&usage, time, rate, backlog);
        }
    }

    /// Registers the task that is woken when the transfer may have its turn.
    pub(super) fn register_waker(&self, key: TransferKey, waker: &Waker) {
        self.wakers.borrow_mut().insert(key, waker.clone());
    }

    /// Wakes the next transfer after the previous one sent its chunk or ended.
    pub(super) fn wake_next(&self) {
        let next = self.schedule().next();
        let waker = next.and_then(|key| self.wakers.borrow_mut().remove(&key));
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Removes the task that waits for a turn of the transfer.
    pub(super) fn remove_waker(&self, key: TransferKey) {
        self.wakers.borrow_mut().remove(&key);
    }
}
