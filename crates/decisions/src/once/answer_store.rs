//! Bounded memory of answers.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use super::{ledger_settings::LedgerSettings, stored_answer::StoredAnswer};

/// Answers by sequence number; the oldest make room.
#[derive(Debug, Default)]
pub(super) struct AnswerStore {
    answers: HashMap<u64, Arc<StoredAnswer>>,
    order: VecDeque<u64>,
    bytes: usize,
}

impl AnswerStore {
    /// Keeps an answer, unless it is too large.
    pub(super) fn put(&mut self, sequence: u64, answer: StoredAnswer, settings: &LedgerSettings) {
        let size = answer.size();
        if size > settings.one_answer_bytes_max || size > settings.answer_bytes_max {
            return;
        }
        while self.bytes + size > settings.answer_bytes_max {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.drop_answer(oldest);
        }
        self.bytes += size;
        self.answers.insert(sequence, Arc::new(answer));
        self.order.push_back(sequence);
    }

    pub(super) fn get(&self, sequence: u64) -> Option<Arc<StoredAnswer>> {
        self.answers.get(&sequence).map(Arc::clone)
    }

    /// Forgets one answer; its place in the order goes with its turn.
    pub(super) fn drop_answer(&mut self, sequence: u64) {
        if let Some(answer) = self.answers.remove(&sequence) {
            self.bytes -= answer.size();
        }
        while self
            .order
            .front()
            .is_some_and(|first| !self.answers.contains_key(first))
        {
            self.order.pop_front();
        }
    }

    pub(super) const fn bytes(&self) -> usize {
        self.bytes
    }
}
