//! Reservation of the link for one long response.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::time::{Sleep, sleep};

use super::{LinkScheduler, LinkTurn, TransferKey, TransferRecord};
use crate::node_clock::NodeClock;

/// Reservation of the link for one long response; withdrawn when dropped.
#[derive(Debug)]
pub struct LinkReservation {
    scheduler: Rc<LinkScheduler>,
    clock: NodeClock,
    key: TransferKey,
    transfer: TransferRecord,
    timer: Option<Pin<Box<Sleep>>>,
}

impl LinkReservation {
    /// Creates the guard of a reservation that the schedule granted.
    pub(super) fn new(
        scheduler: &Rc<LinkScheduler>,
        clock: NodeClock,
        key: TransferKey,
        transfer: TransferRecord,
    ) -> Self {
        Self {
            scheduler: Rc::clone(scheduler),
            clock,
            key,
            transfer,
            timer: None,
        }
    }

    /// Records that the response is ready, and its size in bytes if the head gives one.
    pub fn record_response_ready(&mut self, bytes: Option<u64>) {
        self.transfer.record_response_ready(self.clock.now(), bytes);
        if let Some(bytes) = bytes {
            self.scheduler
                .schedule()
                .set_remaining_bytes(self.key, bytes);
        }
    }

    /// Ends the reservation after the last byte was sent.
    pub fn complete(mut self) {
        self.transfer.is_complete = true;
    }

    /// Waits for the next turn and returns how many bytes to send in it.
    pub fn poll_turn(&mut self, cx: &mut Context<'_>) -> Poll<usize> {
        loop {
            let turn = self.scheduler.schedule().turn(self.clock.now(), self.key);
            match turn {
                LinkTurn::Now => {
                    self.timer = None;
                    self.scheduler.remove_waker(self.key);
                    return Poll::Ready(self.scheduler.schedule().chunk_bytes());
                }
                LinkTurn::Postponed(key) => {
                    self.transfer.postponed_at = Some(self.clock.now());
                    self.reschedule(key);
                }
                LinkTurn::Advanced(key) => self.reschedule(key),
                LinkTurn::Later => {
                    self.timer = None;
                    self.scheduler.register_waker(self.key, cx.waker());
                    return Poll::Pending;
                }
                LinkTurn::After(time) => {
                    self.scheduler.register_waker(self.key, cx.waker());
                    let timer = self.timer.insert(Box::pin(sleep(time)));
                    if timer.as_mut().poll(cx).is_pending() {
                        return Poll::Pending;
                    }
                }
            }
        }
    }

    /// Continues under another key, which is due at the response's end.
    fn reschedule(&mut self, key: TransferKey) {
        self.scheduler.remove_waker(self.key);
        self.key = key;
        self.transfer.reservation_request.ends_at = key.due_at();
        // A transfer that waited behind this one may be first now.
        self.scheduler.wake_next();
    }

    /// Records sent bytes of the response, and wakes the next transfer.
    pub fn record_sent(&mut self, bytes: u64) {
        let now = self.clock.now();
        self.transfer.record_sent(now, bytes);
        self.scheduler.record_sent_of(now, self.key, bytes);
        self.scheduler.wake_next();
    }
}

impl Drop for LinkReservation {
    fn drop(&mut self) {
        self.scheduler.schedule().withdraw(self.key);
        self.scheduler.remove_waker(self.key);
        self.scheduler
            .record_transfer_end(self.clock.now(), &self.transfer);
        self.scheduler.wake_next();
    }
}
