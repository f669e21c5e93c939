//! Starts of the local backend server that have ended.

use std::collections::VecDeque;

use crate::member::EndpointStart;

/// Number of ended starts that are remembered. A delayed heartbeat of one of them is ignored.
/// Heartbeats are late by seconds; a backend server takes longer to restart.
const ENDED_MAX: usize = 16;

/// A start that is no longer the current one.
#[derive(Debug, Clone, PartialEq, Eq)]
struct EndedStart {
    start: EndpointStart,
    /// Whether it has said that it leaves.
    has_left: bool,
}

/// Starts of the local backend server that have ended, or have left.
#[derive(Debug, Default)]
pub(super) struct EndedStarts {
    starts: VecDeque<EndedStart>,
}

impl EndedStarts {
    /// Returns whether the start, or a later one of its identifier, has ended.
    pub(super) fn contains(&self, start: &EndpointStart) -> bool {
        let mut starts = self.starts.iter();
        starts.any(|ended| start.ended_with(&ended.start))
    }

    /// Returns whether this very start has ended.
    pub(super) fn contains_exactly(&self, start: &EndpointStart) -> bool {
        self.starts.iter().any(|ended| ended.start == *start)
    }

    /// Adds a start. `has_left` tells whether it has said that it leaves.
    pub(super) fn insert(&mut self, start: EndpointStart, has_left: bool) {
        let mut starts = self.starts.iter_mut();
        if let Some(ended) = starts.find(|ended| start.ended_with(&ended.start)) {
            ended.has_left |= has_left;
            return;
        }
        if self.starts.len() == ENDED_MAX {
            self.starts.pop_front();
        }
        self.starts.push_back(EndedStart { start, has_left });
    }

    /// Removes the starts of an identifier that were taken for ended and haven't said that they leave.
    pub(super) fn remove_running(&mut self, instance: &str) {
        self.starts
            .retain(|ended| ended.has_left || ended.start.instance() != instance);
    }
}
