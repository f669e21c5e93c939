//! Who runs, who waits and who is refused.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::member::MovingMean;

/// Weight of one run in the mean service time: the mean follows a backend
/// server that turns slow within about twenty runs, some 0.3 s when busy.
const SERVICE_WEIGHT: f64 = 0.05;
/// Least advice on when to come back: below it a caller only meets the same
/// queue again.
const RETRY_MIN: Duration = Duration::from_millis(20);
/// Longest advice: a queue that is refusing turns over in a few runs, and a
/// caller that stays away longer misses its own target.
const RETRY_MAX: Duration = Duration::from_millis(300);

/// A waiting job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey {
    rank: u8,
    order: u64,
}

/// A request that wants to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobOffer {
    /// Rank of its route; 0 is the most urgent.
    pub rank: u8,
    /// Hash of its route, by which service times are kept.
    pub class: u64,
    /// Time by which its answer is of use.
    pub useful_until: Duration,
}

/// What becomes of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferVerdict {
    /// It runs now.
    Run,
    /// It waits; refuse it when it still does at `latest`.
    Wait {
        /// Key by which it is granted or withdrawn.
        key: JobKey,
        /// Last moment at which starting it is of use.
        latest: Duration,
    },
    /// It can't be of use any more; it hasn't run.
    Refuse {
        /// Time after which room is expected.
        retry_after: Duration,
    },
}

/// Queue in front of one backend server.
///
/// **Load pattern.** A dozen slots, runs of 30 to 300 ms, callers that want
/// their answer within about four runs, and bursts to twice the capacity.
///
/// **Without it.** A queue in order of arrival without a bound serves everyone
/// late: at twice the capacity the wait passes the target after a second and
/// never returns. A bound by number alone is too long for a slow backend
/// server and too short for a fast one.
///
/// **How.** What can't be answered in time at the measured pace is refused on
/// arrival, with the time in which the excess drains; the rest waits by rank,
/// then by arrival, and a waiting job that has been overtaken is refused as
/// soon as starting it is of no use.
#[derive(Debug)]
pub struct DoorQueue {
    slots: u32,
    running: u32,
    order: u64,
    waiting: BTreeMap<JobKey, WaitingJob>,
    services: HashMap<u64, MovingMean>,
    overall: MovingMean,
}

#[derive(Debug, Clone, Copy)]
struct WaitingJob {
    latest: Duration,
}

impl DoorQueue {
    /// Makes an empty queue in front of `slots` slots.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            order: 0,
            waiting: BTreeMap::new(),
            services: HashMap::new(),
            overall: MovingMean::default(),
        }
    }

    /// Changes the number of slots and returns the jobs that run now.
    pub fn set_slots(&mut self, now: Duration, slots: u32) -> Vec<JobKey> {
        self.slots = slots.max(1);
        self.grant(now)
    }

    /// Returns how many jobs run.
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns how many jobs wait.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Returns the mean time of a run; zero while unknown.
    pub fn service(&self) -> Duration {
        Duration::from_secs_f64(self.overall.get().unwrap_or(0.0))
    }

    /// Offers a job.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_proxy::door::{DoorQueue, JobOffer, OfferVerdict};
    ///
    /// let mut queue = DoorQueue::new(1);
    /// let offer = JobOffer { rank: 1, class: 7, useful_until: Duration::from_millis(400) };
    /// assert_eq!(queue.offer(Duration::ZERO, offer), OfferVerdict::Run);
    /// assert!(matches!(queue.offer(Duration::ZERO, offer), OfferVerdict::Wait { .. }));
    /// let freed = queue.finish(Duration::from_millis(100), 7, Some(Duration::from_millis(100)));
    /// assert_eq!(freed.len(), 1);
    /// ```
    pub fn offer(&mut self, now: Duration, offer: JobOffer) -> OfferVerdict {
        if self.running < self.slots {
            self.running += 1;
            return OfferVerdict::Run;
        }
        let service = self.service_of(offer.class);
        let latest = offer.useful_until.saturating_sub(service);
        let start = now + self.wait_of(offer.rank);
        if start > latest {
            let retry_after = start.saturating_sub(latest).clamp(RETRY_MIN, RETRY_MAX);
            return OfferVerdict::Refuse { retry_after };
        }
        self.order += 1;
        let key = JobKey {
            rank: offer.rank,
            order: self.order,
        };
        self.waiting.insert(key, WaitingJob { latest });
        OfferVerdict::Wait { key, latest }
    }

    /// Withdraws a waiting job; `false` if it doesn't wait any more.
    pub fn withdraw(&mut self, key: JobKey) -> bool {
        self.waiting.remove(&key).is_some()
    }

    /// Takes in that a job ended and returns the jobs that run now.
    ///
    /// `took` is the time of a whole run; `None` when it was cut short, which
    /// says nothing about the pace.
    pub fn finish(&mut self, now: Duration, class: u64, took: Option<Duration>) -> Vec<JobKey> {
        self.running = self.running.saturating_sub(1);
        if let Some(took) = took {
            let seconds = took.as_secs_f64();
            self.overall.observe(seconds, SERVICE_WEIGHT);
            self.services
                .entry(class)
                .or_default()
                .observe(seconds, SERVICE_WEIGHT);
        }
        self.grant(now)
    }

    /// Returns how soon room is expected for a job of `rank`.
    pub fn wait_of(&self, rank: u8) -> Duration {
        let ahead = self.waiting.keys().filter(|key| key.rank <= rank).count() as u32;
        let excess = (self.running + ahead + 1).saturating_sub(self.slots);
        self.service()
            .mul_f64(f64::from(excess) / f64::from(self.slots))
    }

    fn service_of(&self, class: u64) -> Duration {
        let known = self.services.get(&class).and_then(MovingMean::get);
        known.map_or_else(|| self.service(), Duration::from_secs_f64)
    }

    /// Starts waiting jobs while there is room. Jobs past their latest start
    /// are left to their own timers, which refuse them.
    fn grant(&mut self, now: Duration) -> Vec<JobKey> {
        let mut granted = Vec::new();
        while self.running < self.slots {
            let next = self.waiting.iter().find(|(_, job)| job.latest >= now);
            let Some((&key, _)) = next else {
                break;
            };
            self.waiting.remove(&key);
            self.running += 1;
            granted.push(key);
        }
        granted
    }
}
