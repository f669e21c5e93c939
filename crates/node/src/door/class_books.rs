//! What is known of each class of requests at one door.

use std::{collections::HashMap, time::Duration};

use crate::member::MovingMean;

/// Weight of one run in the mean service time: the mean follows a backend
/// server that turns slow within about twenty runs, some 0.3 s when busy.
const SERVICE_WEIGHT: f64 = 0.05;
/// Weight of one verdict in the served share of a class: it follows a change
/// of the load within some thirty verdicts, less than a second when busy.
const SERVED_WEIGHT: f64 = 0.03;
/// Lead in the served share that a class may have over one of its rank or
/// above. Callers of a request with two inner calls need both: a share of
/// 0.9 each serves them as often as 0.8 serves those with none.
const LEAD_MAX: f64 = 0.1;
/// Time after its last offer for which a class is compared with others.
const ACTIVE_TIME: Duration = Duration::from_secs(1);

/// Class of requests, with its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct ClassId {
    pub(super) rank: u8,
    pub(super) class: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct ClassBook {
    rank: u8,
    service: MovingMean,
    served: MovingMean,
    offered_at: Duration,
}

/// What is known of each class of requests at one door: how long they run and
/// what share of them is served.
///
/// **Load pattern.** Two classes of one rank share a full backend server, one
/// with short runs and short targets, one with long ones.
///
/// **Without it.** Whichever the order of the queue prefers gets all that it
/// asks for, and the other takes the whole of the shortage: measured with
/// short targets first, half of the orders were refused and none of the
/// lookups.
#[derive(Debug, Default)]
pub(super) struct ClassBooks {
    books: HashMap<u64, ClassBook>,
    overall: MovingMean,
}

impl ClassBooks {
    /// Notes an offer.
    pub(super) fn offered(&mut self, now: Duration, id: ClassId) {
        let book = self.books.entry(id.class).or_default();
        book.rank = id.rank;
        book.offered_at = now;
    }

    /// Notes whether an offer got a slot.
    pub(super) fn judged(&mut self, id: ClassId, served: bool) {
        if let Some(book) = self.books.get_mut(&id.class) {
            let served = f64::from(u8::from(served));
            book.served.observe(served, SERVED_WEIGHT);
        }
    }

    /// Notes a whole run.
    pub(super) fn ran(&mut self, class: u64, took: Duration) {
        let seconds = took.as_secs_f64();
        self.overall.observe(seconds, SERVICE_WEIGHT);
        if let Some(book) = self.books.get_mut(&class) {
            book.service.observe(seconds, SERVICE_WEIGHT);
        }
    }

    /// Returns the mean time of a run; zero while unknown.
    pub(super) fn service(&self) -> Duration {
        Duration::from_secs_f64(self.overall.get().unwrap_or(0.0))
    }

    /// Returns the mean time of a run of one class.
    pub(super) fn service_of(&self, id: ClassId) -> Duration {
        let known = self
            .books
            .get(&id.class)
            .and_then(|book| book.service.get());
        known.map_or_else(|| self.service(), Duration::from_secs_f64)
    }

    /// Whether a class is served clearly more often than another of its rank
    /// or above that wants to be served, too.
    pub(super) fn is_ahead(&self, now: Duration, id: ClassId) -> bool {
        let Some(own) = self.books.get(&id.class).and_then(|book| book.served.get()) else {
            return false;
        };
        self.books.iter().any(|(&class, book)| {
            let rival = class != id.class && book.rank <= id.rank;
            let active = now < book.offered_at + ACTIVE_TIME;
            let served = book.served.get().unwrap_or(1.0);
            rival && active && own - served > LEAD_MAX
        })
    }
}
