//! Tokens of one account at one shard.

use std::{collections::VecDeque, time::Duration};

use super::{BucketState, QuotaAsk, QuotaGrant, ShardSplit, TurnRun};

/// Longest time for which a token is kept for a caller that was told to return.
const TURN_GRACE_MAX: Duration = Duration::from_millis(150);
/// Largest part of the bucket that fills while a token is kept. Beyond it, tokens kept for callers
/// that don't return would overflow the bucket.
const GRACE_DEPTH_SHARE: f64 = 0.5;
/// Longest time ahead for which tokens are kept for callers.
const TURN_HORIZON: Duration = Duration::from_secs(30);
/// Largest number of series of turns.
const SERIES_MAX: usize = 64;
/// Share of a token that rounding of times may leave missing.
const ROUNDING: f64 = 1e-6;

/// Turns an equal time apart.
#[derive(Debug, Clone, Copy)]
struct TurnSeries {
    first: Duration,
    step: Duration,
    count: u32,
}

impl TurnSeries {
    /// Returns the time after the last turn at which the next one would follow.
    fn end(&self) -> Duration {
        self.first
            .saturating_add(self.step.saturating_mul(self.count))
    }

    /// Returns the number of turns until `now`.
    fn due(&self, now: Duration) -> u32 {
        let Some(time) = now.checked_sub(self.first) else {
            return 0;
        };
        let due = time.as_nanos() / self.step.as_nanos().max(1) + 1;
        u32::try_from(due).map_or(self.count, |due| due.min(self.count))
    }
}

/// Tokens of one account at one shard.
///
/// A refused caller gets a turn, a time at which a token will have come in for it. Turns are a
/// token's interval apart. From the time of a turn, a token is kept for its caller, and given to
/// others when the caller doesn't return.
#[derive(Debug, Clone)]
pub(super) struct TokenBucket {
    split: ShardSplit,
    level: f64,
    settled_at: Duration,
    /// Turns whose callers haven't returned yet, in order.
    turns: VecDeque<TurnSeries>,
    /// Earliest time of the next turn.
    next_turn: Duration,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub(super) const fn new(now: Duration, split: ShardSplit) -> Self {
        Self {
            split,
            level: 0.0,
            settled_at: now,
            turns: VecDeque::new(),
            next_turn: Duration::ZERO,
        }
    }

    /// Applies another quota from now on.
    pub(super) fn change(&mut self, now: Duration, split: ShardSplit) {
        if split == self.split {
            return;
        }
        self.settle(now);
        self.split = split;
        self.level = self.level.min(split.depth);
        self.turns.clear();
        self.next_turn = now;
    }

    /// Grants tokens, and turns if they don't suffice.
    pub(super) fn grant(&mut self, now: Duration, ask: &QuotaAsk) -> QuotaGrant {
        self.settle(now);
        let returned = ask.returning.min(self.whole());
        self.level -= f64::from(returned);
        self.drop_turns(returned);
        let free = self.whole().saturating_sub(self.kept(now));
        let fresh = ask.wanted.saturating_sub(returned).min(free);
        self.level -= f64::from(fresh);
        let tokens = returned + fresh;
        let is_empty = fresh == free && tokens < ask.wanted;
        let turns = if is_empty {
            self.add_turns(now, ask.turns)
        } else {
            TurnRun::default()
        };
        let wait = if is_empty {
            self.time_until(1 + self.kept(now))
        } else {
            Duration::ZERO
        };
        QuotaGrant {
            account: ask.account,
            known: true,
            tokens,
            wait_us: micros(wait),
            turns,
            queue_us: micros(self.next_turn.saturating_sub(now)),
        }
    }

    /// Returns what the next owner of the shard needs. Turns that are due already aren't part of it.
    pub(super) fn state(&mut self, now: Duration, account: u64) -> BucketState {
        self.settle(now);
        self.drop_turns(self.kept(now));
        let turns = self.turns.iter().map(|series| TurnRun {
            first_us: micros(series.first.saturating_sub(now)),
            step_us: micros(series.step),
            count: series.count,
        });
        BucketState {
            account,
            rate_per_s: self.split.rate_per_s,
            depth: self.split.depth,
            level: self.level,
            turns: turns.collect(),
            next_turn_us: micros(self.next_turn.saturating_sub(now)),
        }
    }

    /// Goes on from the state of the owner before. Turns of another quota are dropped.
    pub(super) fn restore(&mut self, now: Duration, state: &BucketState) {
        self.level = state.level.max(0.0).min(self.split.depth);
        let time_of = |time_us| now.saturating_add(Duration::from_micros(time_us));
        let is_same = |one: f64, other: f64| (one - other).abs() <= ROUNDING * one;
        let is_same_quota = is_same(self.split.rate_per_s, state.rate_per_s)
            && is_same(self.split.depth, state.depth);
        if !is_same_quota {
            self.next_turn = now;
            return;
        }
        let turns = state.turns.iter().take(SERIES_MAX);
        let turns = turns.map(|turns| TurnSeries {
            first: time_of(turns.first_us),
            step: Duration::from_micros(turns.step_us),
            count: turns.count,
        });
        self.turns = turns.collect();
        self.next_turn = time_of(state.next_turn_us);
    }

    fn settle(&mut self, now: Duration) {
        let time = now.saturating_sub(self.settled_at).as_secs_f64();
        self.level = self
            .split
            .depth
            .min(time.mul_add(self.split.rate_per_s, self.level));
        self.settled_at = self.settled_at.max(now);
        let grace = self.turn_grace();
        let lapsed = now.checked_sub(grace).map_or(0, |time| self.kept(time));
        self.drop_turns(lapsed);
    }

    /// Drops the earliest turns.
    fn drop_turns(&mut self, mut count: u32) {
        while let Some(series) = self.turns.front_mut().filter(|_| count > 0) {
            let dropped = series.count.min(count);
            series.first = series
                .first
                .saturating_add(series.step.saturating_mul(dropped));
            series.count -= dropped;
            count -= dropped;
            if series.count == 0 {
                self.turns.pop_front();
            }
        }
    }

    fn turn_grace(&self) -> Duration {
        let seconds = self.split.depth * GRACE_DEPTH_SHARE / self.split.rate_per_s;
        Duration::try_from_secs_f64(seconds).map_or(TURN_GRACE_MAX, |time| time.min(TURN_GRACE_MAX))
    }

    /// Returns the number of whole tokens.
    fn whole(&self) -> u32 {
        (self.level + ROUNDING).max(0.0) as u32
    }

    /// Returns the number of tokens kept for callers that may return now.
    fn kept(&self, now: Duration) -> u32 {
        self.turns.iter().map(|series| series.due(now)).sum()
    }

    /// Returns the time until the bucket holds `tokens`.
    fn time_until(&self, tokens: u32) -> Duration {
        let missing = (f64::from(tokens) - self.level).max(0.0);
        Duration::try_from_secs_f64(missing / self.split.rate_per_s).unwrap_or(Duration::MAX)
    }

    fn add_turns(&mut self, now: Duration, wanted: u32) -> TurnRun {
        let step = Duration::try_from_secs_f64(1.0 / self.split.rate_per_s).unwrap_or(TURN_HORIZON);
        let next_token = now.saturating_add(self.time_until(1 + self.kept(now)));
        let first = self.next_turn.max(next_token);
        let horizon = (now + TURN_HORIZON).saturating_sub(first);
        let fitting = horizon.as_nanos() / step.as_nanos().max(1);
        let fitting = u32::try_from(fitting).unwrap_or(u32::MAX);
        // One caller gets a turn however long a token takes to come in.
        let fitting = fitting.max(u32::from(self.turns.is_empty()));
        let count = wanted.min(fitting);
        let series = TurnSeries { first, step, count };
        let has_room = count > 0 && self.turns.len() < SERIES_MAX;
        match self.turns.back_mut() {
            Some(last) if last.end() == first && last.step == step => last.count += count,
            _ if has_room => self.turns.push_back(series),
            _ => return TurnRun::default(),
        }
        self.next_turn = series.end();
        TurnRun {
            first_us: micros(first.saturating_sub(now)),
            step_us: micros(step),
            count,
        }
    }
}

/// Returns a time in microseconds, rounded up so that nothing comes too early.
fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_nanos().div_ceil(1_000)).unwrap_or(u64::MAX)
}
