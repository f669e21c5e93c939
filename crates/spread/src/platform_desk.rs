//! Platform calls within a budget that the fleet shares.
//!
//! Load pattern: all nodes start at once, or the platform returns after an
//! outage and all have something to ask. Without a budget 1,600 nodes with a
//! few calls each come within a second, against 2,000 reads a second that the
//! platform gives and that operators need as well.
//!
//! Figures: all nodes together get 800 calls a second, two fifths of the reads;
//! polls by everyone cost 20 a second, one hundredth. Two watchers in each of
//! ten data centres wait 20 s at a time, which costs one call a second.

use std::{collections::VecDeque, time::Duration};

use rand::{RngExt, rngs::StdRng};

use crate::{PlatformCall, TokenBucket};

/// Calls a second that all nodes may make together.
const FLEET_CALLS: f64 = 800.0;
/// Polls a second of all nodes together.
const FLEET_POLLS: f64 = 20.0;
/// Calls a second of one node, however small the fleet.
const NODE_CALLS_MAX: f64 = 4.0;
/// Calls that a node may save up.
const CALLS_BURST: f64 = 2.0;
/// Shortest time between polls.
const POLL_MIN: Duration = Duration::from_secs(15);
/// Longest wait of a watch: well below the timeouts of proxies and gateways.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Watches a second of one watcher; changes within it come together.
const WATCH_RATE: f64 = 4.0;
/// Wait after the first failure, doubled with each.
const BACKOFF_FIRST: Duration = Duration::from_millis(500);
/// Longest wait after failures: an outage's end is noticed within it, and a
/// change that waited is in force well within 9 s.
const BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Time without a report after which a call counts as failed.
const LOST_AFTER: Duration = Duration::from_secs(45);

/// Calls waiting and out, and when the next may be made.
#[derive(Debug)]
pub struct PlatformDesk {
    waiting: VecDeque<PlatformCall>,
    call_out: Option<Duration>,
    watch_out: Option<Duration>,
    calls: TokenBucket,
    watches: TokenBucket,
    failures: u32,
    calls_after: Duration,
    watch_failures: u32,
    watches_after: Duration,
    next_poll: Duration,
    revision: Option<u64>,
    members: f64,
}

impl PlatformDesk {
    /// Makes the desk of a node in a fleet of `members`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_spread::PlatformDesk;
    /// use rand::{SeedableRng, rngs::StdRng};
    ///
    /// let mut rng = StdRng::seed_from_u64(1);
    /// let mut desk = PlatformDesk::new(Duration::ZERO, 26, &mut rng);
    /// assert_eq!(desk.due(Duration::from_secs(1), false, true, &mut rng).len(), 1);
    /// ```
    pub fn new(now: Duration, members: u32, rng: &mut StdRng) -> Self {
        let members = f64::from(members.max(1));
        // A herd starts at one moment: with a part of a token each, its nodes
        // make their first calls one after another.
        let level = rng.random_range(0.0..1.0);
        let mut calls = TokenBucket::new(node_rate(members), CALLS_BURST, level);
        calls.start(now);
        Self {
            waiting: VecDeque::new(),
            call_out: None,
            watch_out: None,
            calls,
            watches: TokenBucket::new(WATCH_RATE, WATCH_RATE, WATCH_RATE),
            failures: 0,
            calls_after: now,
            watch_failures: 0,
            watches_after: now,
            next_poll: now,
            revision: None,
            members,
        }
    }

    /// Scales the budget to a fleet of `members`.
    pub fn set_members(&mut self, members: usize) {
        self.members = (members as f64).max(1.0);
        self.calls.set_rate(node_rate(self.members));
    }

    /// Lines up a call, unless the same one waits already.
    pub fn queue(&mut self, call: PlatformCall) {
        if !self.waiting.contains(&call) {
            self.waiting.push_back(call);
        }
    }

    /// Lines up a call before all others.
    pub fn queue_first(&mut self, call: PlatformCall) {
        self.waiting.retain(|held| *held != call);
        self.waiting.push_front(call);
    }

    /// Returns the calls to make now. `watcher`: the node keeps a watch;
    /// `empty`: it has no configuration yet.
    pub fn due(
        &mut self,
        now: Duration,
        watcher: bool,
        empty: bool,
        rng: &mut StdRng,
    ) -> Vec<PlatformCall> {
        self.give_up_lost(now, rng);
        if now >= self.next_poll {
            self.queue(PlatformCall::ReadInForce);
            self.next_poll = now + self.poll_gap(empty).mul_f64(rng.random_range(0.5..1.5));
        }
        let mut calls = Vec::new();
        if watcher {
            calls.extend(self.watch_due(now));
        }
        let may_call = self.call_out.is_none() && now >= self.calls_after;
        if may_call && !self.waiting.is_empty() && self.calls.take(now, 1.0) {
            self.call_out = Some(now);
            calls.extend(self.waiting.pop_front());
        }
        calls
    }

    fn watch_due(&mut self, now: Duration) -> Option<PlatformCall> {
        if self.watch_out.is_some() || now < self.watches_after {
            return None;
        }
        let Some(after_revision) = self.revision else {
            self.queue(PlatformCall::ReadInForce);
            return None;
        };
        self.watches.take(now, 1.0).then(|| {
            self.watch_out = Some(now);
            PlatformCall::WatchInForce {
                after_revision,
                wait: WATCH_WAIT,
            }
        })
    }

    fn poll_gap(&self, empty: bool) -> Duration {
        if empty {
            let shared = Duration::from_secs_f64(2.0 * self.members / FLEET_CALLS);
            return shared.max(Duration::from_secs(1));
        }
        Duration::from_secs_f64(self.members / FLEET_POLLS).max(POLL_MIN)
    }

    /// Notes that a call was answered.
    pub const fn answered(&mut self, watch: bool, revision: Option<u64>) {
        if watch {
            self.watch_out = None;
            self.watch_failures = 0;
        } else {
            self.call_out = None;
            self.failures = 0;
        }
        if revision.is_some() {
            self.revision = revision;
        }
    }

    /// Notes that a call failed.
    pub fn failed(&mut self, now: Duration, watch: bool, rng: &mut StdRng) {
        if watch {
            self.watch_out = None;
            self.watch_failures += 1;
            self.watches_after = now + backoff(self.watch_failures, rng);
            // The revision may be one that the platform no longer knows.
            self.revision = None;
        } else {
            self.call_out = None;
            self.failures += 1;
            self.calls_after = now + backoff(self.failures, rng);
        }
    }

    /// Drops outstanding calls whose report was lost with the node's thread.
    fn give_up_lost(&mut self, now: Duration, rng: &mut StdRng) {
        let lost = |since: Option<Duration>| {
            since.is_some_and(|since| now.saturating_sub(since) >= LOST_AFTER)
        };
        if lost(self.watch_out) {
            self.failed(now, true, rng);
        }
        if lost(self.call_out) {
            self.failed(now, false, rng);
        }
    }
}

fn node_rate(members: f64) -> f64 {
    (FLEET_CALLS / members).min(NODE_CALLS_MAX)
}

/// Doubles with each failure and is spread over half of itself, so that nodes
/// which failed together don't come back together.
fn backoff(failures: u32, rng: &mut StdRng) -> Duration {
    let doubled = BACKOFF_FIRST * 2u32.saturating_pow(failures.saturating_sub(1).min(8));
    doubled.min(BACKOFF_MAX).mul_f64(rng.random_range(0.5..1.0))
}
