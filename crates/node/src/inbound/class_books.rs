//! What is known of each class of requests at one inbound proxy.

use std::{collections::HashMap, time::Duration};

use crate::member::MovingMean;

/// Weight of one run in the mean service time.
const SERVICE_WEIGHT: f64 = 0.05;
/// Weight of one verdict in the served share of a class: it follows a change
/// of the load within some thirty verdicts, less than a second when busy.
const SERVED_WEIGHT: f64 = 0.03;
/// Verdicts from which on a served share is compared with others. By fewer a seldom used
/// route looks far ahead after one request that was served.
const VERDICTS_MIN: u32 = 10;
/// Lead in the served share that a class may have over one of its rank or above. Requests
/// with several calls need all of them served, so equal shares would leave them behind.
const LEAD_MAX: f64 = 0.1;
/// Time after its last offer for which a class is compared with others.
const ACTIVE_TIME: Duration = Duration::from_secs(1);

/// Weight of one wait in the measured pace of the queue: it follows a burst of
/// more urgent work within ten or twenty jobs.
const PACE_WEIGHT: f64 = 0.1;
/// Weight by which the pace goes back to the planned one with each job that is
/// refused for it: without jobs that wait it isn't measured.
const PACE_REGAIN: f64 = 0.01;
/// Bounds of the measured pace, in planned waits. Beyond them a single wait,
/// planned as a millisecond, would say more than the others together.
const PACE_BOUNDS: std::ops::RangeInclusive<f64> = 0.25..=16.0;

/// Class of requests, with its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct ClassId {
    pub(super) rank: u8,
    pub(super) route_hash: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct ClassBook {
    rank: u8,
    service: MovingMean,
    served: MovingMean,
    /// Verdicts that the served share rests on.
    verdicts: u32,
    /// Waits in planned ones, of jobs that can be in time.
    pace: MovingMean,
    /// The same of those that can't.
    late_pace: MovingMean,
    offered_at: Duration,
}

impl ClassBook {
    /// Returns the served share, once it rests on enough verdicts.
    fn share(&self) -> Option<f64> {
        self.served.get().filter(|_| self.verdicts >= VERDICTS_MIN)
    }
}

/// What is known of each class of requests at one inbound proxy: how long they run and what share
/// of them is served.
///
/// When two classes of one rank share a full backend server, an order by target times
/// serves the class with short targets whole, and the other takes the whole of the
/// shortage. Served shares are compared so that no class gets far ahead of one of its
/// rank or above.
#[derive(Debug, Default)]
pub(super) struct ClassBooks {
    books: HashMap<u64, ClassBook>,
    overall: MovingMean,
}

impl ClassBooks {
    /// Notes an offer.
    pub(super) fn offered(&mut self, now: Duration, id: ClassId) {
        let book = self.books.entry(id.route_hash).or_default();
        book.rank = id.rank;
        book.offered_at = now;
    }

    /// Notes whether an offer got a slot.
    pub(super) fn judged(&mut self, id: ClassId, served: bool) {
        if let Some(book) = self.books.get_mut(&id.route_hash) {
            let served = f64::from(u8::from(served));
            book.verdicts = book.verdicts.saturating_add(1);
            // The first verdicts count alike, not the very first for most.
            let weight = SERVED_WEIGHT.max(1.0 / f64::from(book.verdicts));
            book.served.observe(served, weight);
        }
    }

    /// Notes how long a job waited, beside what was planned.
    pub(super) fn waited(&mut self, id: ClassId, late: bool, planned: Duration, waited: Duration) {
        let planned = planned.as_secs_f64();
        if planned <= 0.0 {
            return;
        }
        let pace = waited.as_secs_f64() / planned;
        let pace = pace.clamp(*PACE_BOUNDS.start(), *PACE_BOUNDS.end());
        self.pace_of(id, late).observe(pace, PACE_WEIGHT);
    }

    /// Notes that a job was refused.
    pub(super) fn passed_over(&mut self, id: ClassId, late: bool) {
        let pace = self.pace_of(id, late);
        if pace.get().is_some() {
            pace.observe(1.0, PACE_REGAIN);
        }
    }

    /// Returns how long a wait really takes that is planned so.
    pub(super) fn real_wait(&mut self, id: ClassId, late: bool, planned: Duration) -> Duration {
        planned.mul_f64(self.pace_of(id, late).get().unwrap_or(1.0))
    }

    fn pace_of(&mut self, id: ClassId, late: bool) -> &mut MovingMean {
        let book = self.books.entry(id.route_hash).or_default();
        if late {
            &mut book.late_pace
        } else {
            &mut book.pace
        }
    }

    /// Notes a whole run.
    pub(super) fn ran(&mut self, route_hash: u64, took: Duration) {
        let seconds = took.as_secs_f64();
        self.overall.observe(seconds, SERVICE_WEIGHT);
        if let Some(book) = self.books.get_mut(&route_hash) {
            book.service.observe(seconds, SERVICE_WEIGHT);
        }
    }

    /// Returns the mean time of a run; zero while unknown.
    pub(super) fn mean_run_time(&self) -> Duration {
        Duration::from_secs_f64(self.overall.get().unwrap_or(0.0))
    }

    /// Returns the mean time of a run of one class.
    pub(super) fn mean_run_time_of(&self, id: ClassId) -> Duration {
        let known = self
            .books
            .get(&id.route_hash)
            .and_then(|book| book.service.get());
        known.map_or_else(|| self.mean_run_time(), Duration::from_secs_f64)
    }

    /// Whether a class is served clearly more often than another of its rank
    /// or above that wants to be served, too.
    pub(super) fn is_ahead(&self, now: Duration, id: ClassId) -> bool {
        let Some(own) = self.books.get(&id.route_hash).and_then(ClassBook::share) else {
            return false;
        };
        self.books.iter().any(|(&route_hash, book)| {
            let rival = route_hash != id.route_hash && book.rank <= id.rank;
            let active = now < book.offered_at + ACTIVE_TIME;
            let served = book.share();
            rival && active && served.is_some_and(|served| own - served > LEAD_MAX)
        })
    }
}
