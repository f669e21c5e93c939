//! Starts of backend servers that have said in their responses that they leave.

use std::collections::VecDeque;

use super::{EndpointStart, StartOrder};

/// Number of starts that are remembered. A start ends within a minute after it said so.
const STARTS_MAX: usize = 256;

/// Starts of backend servers that have said in their responses that they leave.
///
/// A member's announcement may disappear and come back while the store is unavailable, and its node
/// may restart and announce it as ready. What the backend server said itself holds all the same.
#[derive(Debug, Default)]
pub(super) struct LeftStarts {
    starts: VecDeque<EndpointStart>,
}

impl LeftStarts {
    /// Remembers a start and returns whether it is new.
    pub(super) fn insert(&mut self, start: &EndpointStart) -> bool {
        if self.contains(start) {
            return false;
        }
        if self.starts.len() == STARTS_MAX {
            self.starts.pop_front();
        }
        self.starts.push_back(start.clone());
        true
    }

    /// Whether the start has said that it leaves.
    pub(super) fn contains(&self, start: &EndpointStart) -> bool {
        let mut starts = self.starts.iter();
        starts.any(|left| {
            left.instance() == start.instance() && left.order(start) == StartOrder::Same
        })
    }
}
