//! Counts of calls by kind and second.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::CallKind;

/// Seconds kept: long enough to see a minute of quiet before a minute's storm.
const SECONDS_KEPT: usize = 120;

/// Calls within one second since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondCounts {
    /// Second since the stand-in started.
    pub second: u64,
    /// Reads.
    pub read: u64,
    /// Writes and lease calls.
    pub write: u64,
    /// Watches that started.
    pub watch: u64,
    /// Calls turned away with status 429, counted above too.
    pub refused: u64,
}

/// Answer of `GET /standin/counts`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsReport {
    /// Sums since the start; `second` is the age of the stand-in.
    pub totals: SecondCounts,
    /// Watches that wait now.
    pub waiting_watches: u64,
    /// The last 120 s that had a call, oldest first.
    pub seconds: Vec<SecondCounts>,
}

/// Counts by second.
#[derive(Debug, Default)]
pub struct CallCounts {
    totals: SecondCounts,
    seconds: VecDeque<SecondCounts>,
    waiting_watches: u64,
}

impl CallCounts {
    /// Counts a call that arrived in `second`.
    pub(super) fn count(&mut self, second: u64, kind: CallKind, refused: bool) {
        if self.seconds.back().is_none_or(|last| last.second != second) {
            self.seconds.push_back(SecondCounts {
                second,
                ..SecondCounts::default()
            });
        }
        while self.seconds.len() > SECONDS_KEPT {
            self.seconds.pop_front();
        }
        let current = self.seconds.back_mut().expect("one was just pushed");
        for counts in [current, &mut self.totals] {
            *field(counts, kind) += 1;
            counts.refused += u64::from(refused);
        }
    }

    pub(super) fn watch_started(&mut self) {
        self.waiting_watches += 1;
    }

    pub(super) fn watch_ended(&mut self) {
        self.waiting_watches -= 1;
    }

    pub(super) fn report(&self, now: u64) -> CountsReport {
        let oldest = now.saturating_sub(SECONDS_KEPT as u64);
        CountsReport {
            totals: SecondCounts {
                second: now,
                ..self.totals
            },
            waiting_watches: self.waiting_watches,
            seconds: self
                .seconds
                .iter()
                .filter(|counts| counts.second >= oldest)
                .copied()
                .collect(),
        }
    }
}

const fn field(counts: &mut SecondCounts, kind: CallKind) -> &mut u64 {
    match kind {
        CallKind::Read => &mut counts.read,
        CallKind::Write => &mut counts.write,
        CallKind::Watch => &mut counts.watch,
    }
}
