//! Which long answers are begun, and whose bytes go next.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Fraction of the link rate that carries payload: a full TCP segment has 1,448 bytes of
/// payload in 1,538 bytes on Ethernet.
const PLANNED_PART: f64 = 0.94;
/// Bytes a second in a megabit a second.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// Time that long answers may fill the link ahead. A short answer waits behind it, and a
/// timer may fire some milliseconds late.
const AHEAD: Duration = Duration::from_millis(12);
/// Time that one piece of a long answer fills the link.
const PIECE_TIME: Duration = Duration::from_millis(6);
/// Bounds of a piece: below a packet or two each costs more to hand over than
/// to carry, and more than the library reads at a time isn't there.
const PIECE_BYTES: std::ops::RangeInclusive<f64> = 4_096.0..=65_536.0;
/// Part of the time until an answer is due that is planned with. The rest is for the
/// way through the other node to the caller, and for runs and lengths that vary.
const DUE_PART: f64 = 0.85;
/// Time by which the link may be free later than a late answer is made. Beyond it the
/// answer would take the place of another that can be in time.
const LATE_WAIT: Duration = Duration::from_millis(100);
/// Least advice on when to come back.
const RETRY_MIN: Duration = Duration::from_millis(50);

/// A long answer that is promised: by the time when it is due, then in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferKey {
    due: Duration,
    order: u64,
}

/// A long answer that wants the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkRequest {
    /// Its bytes, as far as is known.
    pub bytes: u64,
    /// Time until the backend server has made it.
    pub made_in: Duration,
    /// Time by which it is of full use.
    pub target_deadline: Duration,
    /// Time at which its caller gets a final answer.
    pub ends_at: Duration,
}

/// What becomes of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkDecision {
    /// The link is promised to it.
    Promised(TransferKey),
    /// It can't be there in time.
    Refused {
        /// Time after which it could be.
        retry_after: Duration,
    },
}

/// Whether a long answer may hand on its next piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkTurn {
    /// It may.
    Now,
    /// It is next, once the link has room.
    After(Duration),
    /// Another one goes first.
    Later,
    /// It can't be in time any more, and goes by this key from now on, behind
    /// those that can.
    Postponed(TransferKey),
}

/// What is still to come of a promised answer.
#[derive(Debug, Clone, Copy)]
struct PromisedLoad {
    bytes: f64,
    /// Time at which its caller gets a final answer.
    ends_at: Duration,
}

/// Which long answers are begun, and whose bytes go next.
///
/// On a narrow link that is asked for more files than it carries, files that share it all
/// come late, and so do the short answers behind them that calls between backend servers
/// wait for. Short answers go at once. Long ones take turns, the one that is due first
/// going first, and fill the link only some milliseconds ahead. A long answer is begun
/// only if it can be there when it is due, behind everything that is promised; the rest
/// is refused at once.
///
/// Room is left for everything that is promised, also for what is due later. Behind what
/// is due before it alone there is always room on a busy link: each newcomer would put
/// the earlier ones off, and those end unsent, made in full, when their callers leave.
///
/// An answer that turns out late gets what the others leave, until its caller's own end
/// is near. If it went on as the one that is due first, each late one would make the next
/// late as well. One that comes too late to be in time, as after a refusal, is begun only
/// where the link would stand idle by the time it is made.
#[derive(Debug)]
pub struct LinkSchedule {
    bytes_per_s: f64,
    /// Bytes handed over and not carried yet, as of `at`.
    level: f64,
    at: Duration,
    /// What is still to come of each promised answer.
    loads: BTreeMap<TransferKey, PromisedLoad>,
    /// Those that want to hand on a piece now.
    waiting: BTreeSet<TransferKey>,
    order: u64,
}

impl LinkSchedule {
    /// Makes the schedule of an idle link.
    pub fn new(link_mbps: f64) -> Self {
        Self {
            bytes_per_s: (link_mbps * BYTES_PER_MBIT * PLANNED_PART).max(1.0),
            level: 0.0,
            at: Duration::ZERO,
            loads: BTreeMap::new(),
            waiting: BTreeSet::new(),
            order: 0,
        }
    }

    /// Promises the link to a long answer, if that can be there in time.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::link::{LinkRequest, LinkSchedule, LinkDecision};
    ///
    /// let mut link = LinkSchedule::new(8.0);
    /// let offer = LinkRequest {
    ///     bytes: 90_000,
    ///     made_in: Duration::from_millis(100),
    ///     target_deadline: Duration::from_millis(400),
    ///     ends_at: Duration::from_millis(400),
    /// };
    /// let promised = (0..9).filter(|_| {
    ///     matches!(link.offer(Duration::ZERO, offer), LinkDecision::Promised(_))
    /// });
    /// assert_eq!(promised.count(), 3);
    /// ```
    pub fn offer(&mut self, now: Duration, offer: LinkRequest) -> LinkDecision {
        if let Some(retry_after) = self.refusal(now, offer) {
            return LinkDecision::Refused { retry_after };
        }
        let due = if self.may_be_in_time(now, offer) {
            offer.target_deadline
        } else {
            offer.ends_at
        };
        LinkDecision::Promised(self.take(offer.bytes, due, offer.ends_at))
    }

    /// Returns the time after which the link could be promised to an offer, if it
    /// can't be now.
    pub fn refusal(&self, now: Duration, offer: LinkRequest) -> Option<Duration> {
        let free = self.backlog(now);
        let sent_at = now + free.max(offer.made_in) + self.time_of(offer.bytes as f64);
        let excess = if self.may_be_in_time(now, offer) {
            sent_at.saturating_sub(due_by(now, offer.target_deadline))
        } else {
            let in_vain = sent_at.saturating_sub(due_by(now, offer.ends_at));
            free.saturating_sub(offer.made_in + LATE_WAIT).max(in_vain)
        };
        (excess > Duration::ZERO).then_some(excess.max(RETRY_MIN))
    }

    /// Whether an offer could be in time on an idle link.
    fn may_be_in_time(&self, now: Duration, offer: LinkRequest) -> bool {
        now + offer.made_in + self.time_of(offer.bytes as f64) <= offer.target_deadline
    }

    /// Gives a long answer that is there already its turns: nobody knew that it
    /// would be long, as with the first ones after a start.
    pub fn take(&mut self, bytes: u64, due: Duration, ends_at: Duration) -> TransferKey {
        let bytes = bytes as f64;
        self.insert(due, PromisedLoad { bytes, ends_at })
    }

    fn insert(&mut self, due: Duration, load: PromisedLoad) -> TransferKey {
        self.order += 1;
        let order = self.order;
        let key = TransferKey { due, order };
        self.loads.insert(key, load);
        key
    }

    /// Takes in how many bytes a promised answer really has.
    pub fn resize(&mut self, key: TransferKey, bytes: u64) {
        if let Some(load) = self.loads.get_mut(&key) {
            load.bytes = bytes as f64;
        }
    }

    /// Asks whether a promised answer may hand on its next piece.
    pub fn turn(&mut self, now: Duration, key: TransferKey) -> LinkTurn {
        if let Some(later) = self.postponed(now, key) {
            return LinkTurn::Postponed(later);
        }
        self.waiting.insert(key);
        if self.waiting.first() != Some(&key) {
            return LinkTurn::Later;
        }
        let excess = self.level_at(now) - AHEAD.as_secs_f64() * self.bytes_per_s;
        if excess > 0.0 {
            return LinkTurn::After(self.time_of(excess));
        }
        self.waiting.remove(&key);
        LinkTurn::Now
    }

    /// Puts an answer that can't be in time any more behind those that can.
    fn postponed(&mut self, now: Duration, key: TransferKey) -> Option<TransferKey> {
        let load = *self.loads.get(&key)?;
        let late = now + self.time_of(load.bytes) > key.due;
        if !late || load.ends_at <= key.due {
            return None;
        }
        self.withdraw(key);
        Some(self.insert(load.ends_at, load))
    }

    /// Returns who is next of those that want to hand on a piece.
    pub fn next(&self) -> Option<TransferKey> {
        self.waiting.first().copied()
    }

    /// Returns the bytes of a piece.
    pub fn piece(&self) -> usize {
        let bytes = PIECE_TIME.as_secs_f64() * self.bytes_per_s;
        bytes.clamp(*PIECE_BYTES.start(), *PIECE_BYTES.end()) as usize
    }

    /// Notes bytes of any answer that were handed over.
    pub fn sent(&mut self, now: Duration, bytes: u64) {
        self.level = self.level_at(now) + bytes as f64;
        self.at = self.at.max(now);
    }

    /// Notes bytes of a promised answer that were handed over.
    pub fn sent_of(&mut self, now: Duration, key: TransferKey, bytes: u64) {
        if let Some(load) = self.loads.get_mut(&key) {
            load.bytes = (load.bytes - bytes as f64).max(0.0);
        }
        self.sent(now, bytes);
    }

    /// Takes back a promise, kept or not.
    pub fn withdraw(&mut self, key: TransferKey) {
        self.loads.remove(&key);
        self.waiting.remove(&key);
    }

    /// Returns the bytes a second that are planned with.
    pub const fn bytes_per_s(&self) -> f64 {
        self.bytes_per_s
    }

    /// Returns how long everything that is promised or under way will take.
    pub fn backlog(&self, now: Duration) -> Duration {
        self.time_of(self.level_at(now) + self.loads.values().map(|load| load.bytes).sum::<f64>())
    }

    fn time_of(&self, bytes: f64) -> Duration {
        Duration::from_secs_f64(bytes / self.bytes_per_s)
    }

    fn level_at(&self, now: Duration) -> f64 {
        let drained = now.saturating_sub(self.at).as_secs_f64() * self.bytes_per_s;
        (self.level - drained).max(0.0)
    }
}

/// Returns the time by which an answer is planned to be there.
fn due_by(now: Duration, due: Duration) -> Duration {
    now + due.saturating_sub(now).mul_f64(DUE_PART)
}
