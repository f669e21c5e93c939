//! The schedule of the link, shared by the answers under way.

use std::{
    cell::{RefCell, RefMut},
    collections::HashMap,
    rc::Rc,
    task::Waker,
    time::Duration,
};

use http::HeaderValue;

use super::{
    LinkDecision, LinkReporter, LinkRequest, LinkReservation, LinkSchedule, LinkTraffic, LinkUsage,
    TransferKey, TransferRecord,
};
use crate::node_clock::NodeClock;

/// Time over which is told what the link carried.
const TOLD_EACH: Duration = Duration::from_secs(1);

/// The schedule of the link, and who waits for a turn.
#[derive(Debug)]
pub struct LinkScheduler {
    schedule: RefCell<LinkSchedule>,
    wakers: RefCell<HashMap<TransferKey, Waker>>,
    load: RefCell<LinkUsage>,
    reporter: LinkReporter,
}

impl LinkScheduler {
    /// Makes the line of an idle link.
    pub fn new(link_mbps: f64, reporter: LinkReporter) -> Self {
        Self {
            schedule: RefCell::new(LinkSchedule::new(link_mbps)),
            wakers: RefCell::default(),
            load: RefCell::default(),
            reporter,
        }
    }

    /// Returns the schedule.
    pub fn schedule(&self) -> RefMut<'_, LinkSchedule> {
        self.schedule.borrow_mut()
    }

    /// Promises the link to the long answer to a request, if the answer can arrive in time.
    ///
    /// # Errors
    ///
    /// Returns the time after which the link could be promised to the answer.
    pub fn offer(
        self: &Rc<Self>,
        clock: NodeClock,
        request: Option<HeaderValue>,
        offer: LinkRequest,
    ) -> Result<LinkReservation, Duration> {
        let now = clock.now();
        let decision = self.schedule().offer(now, offer);
        match decision {
            LinkDecision::Promised(key) => {
                self.load.borrow_mut().promised += 1;
                let transfer = TransferRecord::new(request, now, offer);
                Ok(LinkReservation::new(self, clock, key, transfer))
            }
            LinkDecision::Refused { retry_after } => {
                self.load.borrow_mut().refused += 1;
                Err(retry_after)
            }
        }
    }

    /// Gives a long answer that is there its turns without asking for room.
    pub fn take(
        self: &Rc<Self>,
        clock: NodeClock,
        request: Option<HeaderValue>,
        offer: LinkRequest,
    ) -> LinkReservation {
        let key = self
            .schedule()
            .take(offer.bytes, offer.target_deadline, offer.ends_at);
        let transfer = TransferRecord::new(request, clock.now(), offer);
        LinkReservation::new(self, clock, key, transfer)
    }

    /// Notes bytes that were handed over at once.
    pub fn sent(&self, now: Duration, purpose: LinkTraffic, bytes: u64) {
        self.schedule().sent(now, bytes);
        self.load.borrow_mut().sent(purpose, bytes);
    }

    /// Notes bytes of a promised answer that were handed over.
    pub(super) fn sent_of(&self, now: Duration, key: TransferKey, bytes: u64) {
        self.schedule().sent_of(now, key, bytes);
        self.load.borrow_mut().sent(LinkTraffic::LongAway, bytes);
    }

    /// Notes what became of a promised answer.
    pub(super) fn ended(&self, now: Duration, transfer: &TransferRecord) {
        self.load.borrow_mut().ended(transfer.end());
        self.reporter.ended(now, transfer);
    }

    /// Tells what the link carried, once a second.
    pub fn report_usage(&self, now: Duration) {
        let taken = self.load.borrow_mut().take_after(now, TOLD_EACH);
        if let Some((load, time)) = taken {
            let schedule = self.schedule();
            let (rate, backlog) = (schedule.bytes_per_s(), schedule.backlog(now));
            drop(schedule);
            self.reporter.carried(&load, time, rate, backlog);
        }
    }

    /// Keeps whom to wake for a turn.
    pub(super) fn wait(&self, key: TransferKey, waker: &Waker) {
        self.wakers.borrow_mut().insert(key, waker.clone());
    }

    /// Wakes who is next: whoever went before has handed on its piece or left.
    pub(super) fn wake_next(&self) {
        let next = self.schedule().next();
        let waker = next.and_then(|key| self.wakers.borrow_mut().remove(&key));
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Forgets whom to wake.
    pub(super) fn leave(&self, key: TransferKey) {
        self.wakers.borrow_mut().remove(&key);
    }
}
