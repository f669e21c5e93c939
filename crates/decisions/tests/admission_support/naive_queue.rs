//! The naive twin: an unbounded queue in order of arrival.

use std::{collections::VecDeque, time::Duration};

use geranium_decisions::admission::{GateDecision, JobId, JobOffer, JobReport};

use super::Guard;

#[derive(Debug)]
pub struct NaiveQueue {
    slots: usize,
    running: usize,
    waiting: VecDeque<JobId>,
}

impl NaiveQueue {
    pub fn new(slots: u16) -> Self {
        let slots = usize::from(slots);
        Self {
            slots,
            running: 0,
            waiting: VecDeque::new(),
        }
    }
}

impl Guard for NaiveQueue {
    fn offer(&mut self, _: Duration, offer: JobOffer) {
        self.waiting.push_back(offer.id);
    }

    fn finish(&mut self, _: Duration, _: JobId, _: JobReport) {
        self.running -= 1;
    }

    fn poll(&mut self, _: Duration, out: &mut Vec<GateDecision>) {
        while self.running < self.slots
            && let Some(id) = self.waiting.pop_front()
        {
            self.running += 1;
            out.push(GateDecision::Run(id));
        }
    }

    fn next_wake(&self) -> Option<Duration> {
        None
    }
}
