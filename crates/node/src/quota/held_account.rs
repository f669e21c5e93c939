//! Tokens of one account at one node.

use std::{collections::VecDeque, time::Duration};

use super::{QuotaAsk, QuotaGrant, SHARD_COUNT, ShardId, ShardSplit, demand_rate::DemandRate};

/// Part of the expected use during a token's life for which a node asks ahead. Requests come
/// unevenly, and tokens that aren't used are lost to all nodes.
const AHEAD_SHARE: f64 = 0.5;
/// Largest number of tokens that a node asks for at once.
const WANTED_MAX: f64 = 10_000.0;
/// Time for whose refusals a node asks for turns.
const TURN_TIME: Duration = Duration::from_millis(250);
/// Largest number of turns that a node asks for at once.
const TURNS_MAX: f64 = 1_024.0;
/// First pause before a shard without tokens is asked again; doubled after each refusal.
const REFUSED_PAUSE_MIN: Duration = Duration::from_millis(10);
/// Largest number of doublings. A node that asks for the use of half a second at a time mustn't
/// pause for longer than that.
const REFUSED_DOUBLINGS_MAX: u32 = 5;
/// Pause before a shard is asked again whose owner doesn't know the account's quota.
const UNKNOWN_PAUSE: Duration = Duration::from_millis(300);
/// Time from its turn within which a returning caller is recognised.
const RETURN_TIME: Duration = Duration::from_millis(100);
/// Largest number of turns given to callers that are remembered.
const GIVEN_MAX: usize = 16_384;
/// Length of the queue of returning callers at a shard from which on the account counts as flooded.
const FLOOD_QUEUE: Duration = Duration::from_millis(500);
/// The same in callers, for accounts with few tokens a second.
const FLOOD_CALLERS: u32 = 3;
/// Time between questions for turns alone.
const TURN_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for which an account counts as flooded after an answer.
const FLOOD_TIME: Duration = Duration::from_secs(1);
/// First pause before a shard is asked again while the account is flooded.
const FLOOD_PAUSE: Duration = Duration::from_millis(200);
/// Largest part of a bucket that fills during a pause in a flood. A full bucket loses tokens.
const PAUSE_FILL_SHARE: f64 = 0.5;

/// Turn given to a refused caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct GivenTurn {
    at: Duration,
    shard: ShardId,
    fingerprint: u64,
}

/// Tokens that one call granted.
#[derive(Debug, Clone, Copy)]
struct TokenBatch {
    shard: ShardId,
    expires_at: Duration,
    count: u32,
}

/// What a node knows of an account at one shard.
#[derive(Debug, Clone, Copy, Default)]
struct ShardView {
    in_flight: bool,
    /// Until when the shard has no tokens.
    refused_until: Duration,
    /// Until when the owner doesn't know the account.
    unknown_until: Duration,
    refusals: u32,
    /// Requests that wait as returning callers with a turn at this shard.
    returning: u32,
}

/// Tokens of one account at one node.
#[derive(Debug, Clone, Default)]
pub(super) struct HeldAccount {
    batches: VecDeque<TokenBatch>,
    demand: DemandRate,
    shards: [ShardView; SHARD_COUNT],
    /// Turns that no caller has been given yet.
    spare_turns: VecDeque<(Duration, ShardId)>,
    /// Turns of callers that are expected to return.
    given_turns: VecDeque<GivenTurn>,
    /// Until when the account is far over its quota. Only one shard is asked for a request then,
    /// one after the other: all of them have more callers than tokens.
    flooded_until: Duration,
    rotation: usize,
    /// Time in which a bucket of the account fills.
    fill_time: Duration,
    /// Time in which a bucket gets a token.
    token_interval: Duration,
    /// When turns were last asked for.
    turns_asked_at: Duration,
    /// Time after which a caller without a turn may return.
    queue_ends_at: Duration,
    waiting: u32,
}

impl HeldAccount {
    /// Counts an arriving request, and returns the shard at which it has a turn.
    pub(super) fn arrive(&mut self, now: Duration, fingerprint: u64) -> Option<ShardId> {
        self.demand.record(now);
        self.waiting += 1;
        self.rotation = self.rotation.wrapping_add(1);
        let is_past = |turn: &GivenTurn| turn.at + RETURN_TIME < now;
        while self.given_turns.front().is_some_and(is_past) {
            self.given_turns.pop_front();
        }
        let mut due = self.given_turns.iter().take_while(|turn| turn.at <= now);
        let position = due.position(|turn| turn.fingerprint == fingerprint)?;
        let turn = self.given_turns.remove(position)?;
        self.shards[turn.shard.index()].returning += 1;
        Some(turn.shard)
    }

    /// Returns whether the account is far over its quota.
    pub(super) fn is_flooded(&self, now: Duration) -> bool {
        now < self.flooded_until
    }

    /// Returns whether there is a turn for a refused caller.
    pub(super) fn has_spare_turn(&self, now: Duration) -> bool {
        self.spare_turns.iter().any(|(turn, _)| *turn > now)
    }

    /// Returns whether a shard is asked although none has a token, because a refused caller would
    /// get no turn.
    pub(super) fn needs_turns(&self, now: Duration) -> bool {
        !self.has_spare_turn(now) && now >= self.turns_asked_at.saturating_add(TURN_INTERVAL)
    }

    /// Returns the shard that is asked first, `preferred` unless the account is flooded.
    pub(super) fn first_shard(&self, now: Duration, preferred: ShardId) -> ShardId {
        if self.is_flooded(now) {
            ShardId::at(self.rotation)
        } else {
            preferred
        }
    }

    /// Ends the wait of a request.
    pub(super) fn leave(&mut self, returning: Option<ShardId>) {
        self.waiting = self.waiting.saturating_sub(1);
        if let Some(shard) = returning {
            let view = &mut self.shards[shard.index()];
            view.returning = view.returning.saturating_sub(1);
        }
    }

    /// Takes a token and returns when it expires.
    ///
    /// `returning` is the shard at which the request has a turn. The tokens that a shard granted
    /// for returning callers are left to these.
    pub(super) fn take(&mut self, now: Duration, returning: Option<ShardId>) -> Option<Duration> {
        self.batches
            .retain(|batch| batch.count > 0 && now < batch.expires_at);
        let mut held = [0; SHARD_COUNT];
        for batch in &self.batches {
            held[batch.shard.index()] += batch.count;
        }
        let is_free = |shard: ShardId| held[shard.index()] > self.shards[shard.index()].returning;
        let own = self
            .batches
            .iter()
            .position(|batch| returning == Some(batch.shard));
        let free = || self.batches.iter().position(|batch| is_free(batch.shard));
        let batch = self.batches.get_mut(own.or_else(free)?)?;
        batch.count -= 1;
        Some(batch.expires_at)
    }

    /// Puts tokens of a shard in, sorted by their expiry.
    pub(super) fn put(&mut self, shard: ShardId, expires_at: Duration, count: u32) {
        let position = self
            .batches
            .partition_point(|batch| batch.expires_at < expires_at);
        match self.batches.get_mut(position) {
            Some(batch) if batch.expires_at == expires_at && batch.shard == shard => {
                batch.count += count;
            }
            _ => self.batches.insert(
                position,
                TokenBatch {
                    shard,
                    expires_at,
                    count,
                },
            ),
        }
    }

    pub(super) const fn is_asked(&self, shard: ShardId) -> bool {
        self.shards[shard.index()].in_flight
    }

    pub(super) fn has_refused(&self, now: Duration, shard: ShardId) -> bool {
        now < self.shards[shard.index()].refused_until
    }

    pub(super) fn is_unknown_at(&self, now: Duration, shard: ShardId) -> bool {
        now < self.shards[shard.index()].unknown_until
    }

    /// Returns the question for a shard, and counts it as in flight.
    pub(super) fn ask(&mut self, now: Duration, shard: ShardId, question: &AskTerms) -> QuotaAsk {
        let rate = self.demand.per_second(now);
        let ahead = (rate * question.token_time.as_secs_f64() * AHEAD_SHARE).min(WANTED_MAX) as u32;
        let turns = if question.wants_turns {
            let refusals = (rate * TURN_TIME.as_secs_f64()).min(TURNS_MAX) as u32;
            let needed = refusals + self.waiting.max(1);
            needed.saturating_sub(self.spare_turns.len() as u32)
        } else {
            0
        };
        let fill_time = question.split.depth / question.split.rate_per_s;
        self.fill_time = Duration::try_from_secs_f64(fill_time).unwrap_or(FLOOD_TIME);
        let interval = 1.0 / question.split.rate_per_s;
        self.token_interval = Duration::try_from_secs_f64(interval).unwrap_or(FLOOD_TIME);
        if turns > 0 {
            self.turns_asked_at = now;
        }
        let view = &mut self.shards[shard.index()];
        view.in_flight = true;
        QuotaAsk {
            account: question.account,
            wanted: self.waiting.max(1) + ahead,
            waiting: self.waiting.max(1),
            returning: view.returning,
            turns,
        }
    }

    /// Applies the owner's answer. `draw` is random, from 0 to 1.
    pub(super) fn record_grant(
        &mut self,
        now: Duration,
        shard: ShardId,
        expires_at: Duration,
        grant: &QuotaGrant,
        draw: f64,
    ) {
        let view = &mut self.shards[shard.index()];
        view.in_flight = false;
        if !grant.known {
            view.unknown_until = now + UNKNOWN_PAUSE;
            return;
        }
        let wait = Duration::from_micros(grant.wait_us);
        let queue = Duration::from_micros(grant.queue_us);
        let is_flooded = queue > FLOOD_QUEUE + self.token_interval * FLOOD_CALLERS;
        if is_flooded {
            self.flooded_until = now + queue.min(FLOOD_TIME);
        }
        let mut pause = Duration::ZERO;
        if grant.tokens > 0 {
            view.refusals = 0;
        } else {
            pause = REFUSED_PAUSE_MIN * (1 << view.refusals.min(REFUSED_DOUBLINGS_MAX));
            view.refusals = view.refusals.saturating_add(1);
        }
        if is_flooded {
            let longest = self.fill_time.mul_f64(PAUSE_FILL_SHARE);
            pause = pause.max(FLOOD_PAUSE).min(longest);
        }
        view.refused_until = now + wait.max(pause.mul_f64(1.0 + draw));
        if grant.tokens > 0 && now < expires_at {
            self.put(shard, expires_at, grant.tokens);
        }
        self.queue_ends_at = self.queue_ends_at.max(now.saturating_add(queue));
        self.spare_turns.retain(|(turn, _)| *turn > now);
        let turns = grant.turns.times(now).map(|turn| (turn, shard));
        self.spare_turns.extend(turns);
        self.spare_turns.make_contiguous().sort_unstable();
        self.spare_turns.truncate(GIVEN_MAX);
    }

    /// Records that a call to a shard's owner failed.
    pub(super) const fn record_failure(&mut self, shard: ShardId) {
        self.shards[shard.index()].in_flight = false;
    }

    /// Forgets what an earlier owner of a shard said.
    pub(super) fn forget_owner(&mut self, shard: ShardId) {
        let view = &mut self.shards[shard.index()];
        view.refused_until = Duration::ZERO;
        view.unknown_until = Duration::ZERO;
        view.refusals = 0;
        self.spare_turns.retain(|(_, owner)| *owner != shard);
        self.given_turns.retain(|turn| turn.shard != shard);
    }

    /// Returns when a refused caller may return. It gets a turn if there is one.
    pub(super) fn refuse(&mut self, now: Duration, fingerprint: u64, draw: f64) -> Duration {
        while let Some((at, shard)) = self.spare_turns.pop_front() {
            let wait = at.saturating_sub(now);
            if !wait.is_zero() && self.given_turns.len() < GIVEN_MAX {
                let position = self.given_turns.partition_point(|given| given.at < at);
                let turn = GivenTurn {
                    at,
                    shard,
                    fingerprint,
                };
                self.given_turns.insert(position, turn);
                return wait;
            }
        }
        let refusals = self.shards.iter().map(|view| view.refused_until);
        let next = refusals.filter(|until| *until > now).min().unwrap_or(now);
        let wait = self.queue_ends_at.max(next).saturating_sub(now);
        wait.max(REFUSED_PAUSE_MIN).mul_f64(1.0 + draw)
    }

    /// Returns whether the account hasn't been used since `time`.
    pub(super) const fn is_idle(&self, time: Duration) -> bool {
        let last = self.demand.last();
        self.waiting == 0 && last.as_nanos() < time.as_nanos()
    }
}

/// What a question for tokens depends on beside the account's demand.
#[derive(Debug, Clone, Copy)]
pub(super) struct AskTerms {
    pub(super) account: u64,
    pub(super) split: ShardSplit,
    pub(super) token_time: Duration,
    /// Whether no other shard can give a token, so that refused callers need turns.
    pub(super) wants_turns: bool,
}
