//! Who runs, who waits and who is refused.

use std::{collections::BTreeMap, time::Duration};

use super::class_books::{ClassBooks, ClassId};

/// Time kept for a run, in mean runs of its class. Half of all runs take longer
/// than the mean, and an answer past its target is worth half or less.
const RUN_MARGIN: f64 = 2.0;
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
    useful_until: Duration,
    order: u64,
}

/// A request that wants to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobOffer {
    /// Rank of its route; 0 is the most urgent.
    pub rank: u8,
    /// Hash of its route, by which service times are kept.
    pub class: u64,
    /// Whether it may wait; it probes for a free slot otherwise.
    pub may_wait: bool,
    /// Time by which its answer is of use.
    pub useful_until: Duration,
}

/// What becomes of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferVerdict {
    /// It runs now.
    Run,
    /// Every slot is taken, and it may not wait.
    Busy,
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
/// arrival, with the time in which the excess drains. The rest waits by rank,
/// then by the time by which its answer is of use: calls that backend servers
/// make of one another have the shortest targets, and each that is turned away
/// wastes the run that made it. Lest these starve the others, a class that is
/// served clearly more often than one of its rank or above is refused until
/// that has caught up (`ClassBooks`). A waiting job that has been overtaken is
/// refused as soon as starting it is of no use.
#[derive(Debug)]
pub struct DoorQueue {
    slots: u32,
    running: u32,
    order: u64,
    waiting: BTreeMap<JobKey, WaitingJob>,
    books: ClassBooks,
}

#[derive(Debug, Clone, Copy)]
struct WaitingJob {
    class: ClassId,
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
            books: ClassBooks::default(),
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
        self.books.service()
    }

    /// Returns the mean time of a run of one class.
    pub fn service_of(&self, class: u64) -> Duration {
        self.books.service_of(ClassId { rank: 0, class })
    }

    /// Offers a job.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::door::{DoorQueue, JobOffer, OfferVerdict};
    ///
    /// let mut queue = DoorQueue::new(1);
    /// let useful_until = Duration::from_millis(400);
    /// let offer = JobOffer { rank: 1, class: 7, may_wait: true, useful_until };
    /// assert_eq!(queue.offer(Duration::ZERO, offer), OfferVerdict::Run);
    /// assert!(matches!(queue.offer(Duration::ZERO, offer), OfferVerdict::Wait { .. }));
    /// let freed = queue.finish(Duration::from_millis(100), 7, Some(Duration::from_millis(100)));
    /// assert_eq!(freed.len(), 1);
    /// ```
    pub fn offer(&mut self, now: Duration, offer: JobOffer) -> OfferVerdict {
        let class = ClassId {
            rank: offer.rank,
            class: offer.class,
        };
        if self.running >= self.slots && !offer.may_wait {
            return OfferVerdict::Busy;
        }
        self.books.offered(now, class);
        if self.running < self.slots {
            self.running += 1;
            self.books.judged(class, true);
            return OfferVerdict::Run;
        }
        if self.books.is_ahead(now, class) {
            return self.refuse(class, self.wait());
        }
        let service = self.books.service_of(class);
        let latest = offer
            .useful_until
            .saturating_sub(service.mul_f64(RUN_MARGIN));
        self.order += 1;
        let key = JobKey {
            rank: offer.rank,
            useful_until: offer.useful_until,
            order: self.order,
        };
        let start = now + self.wait_before(key);
        if start > latest {
            return self.refuse(class, start.saturating_sub(latest));
        }
        self.waiting.insert(key, WaitingJob { class, latest });
        OfferVerdict::Wait { key, latest }
    }

    fn refuse(&mut self, class: ClassId, wait: Duration) -> OfferVerdict {
        self.books.judged(class, false);
        let retry_after = wait.clamp(RETRY_MIN, RETRY_MAX);
        OfferVerdict::Refuse { retry_after }
    }

    /// Refuses a waiting job whose latest start has passed; `false` if it
    /// doesn't wait any more.
    pub fn expire(&mut self, key: JobKey) -> bool {
        let job = self.waiting.remove(&key);
        if let Some(job) = job {
            self.books.judged(job.class, false);
        }
        job.is_some()
    }

    /// Withdraws a waiting job whose caller left; `false` if it doesn't wait
    /// any more.
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
            self.books.ran(class, took);
        }
        self.grant(now)
    }

    /// Returns how soon room is expected for a job at `key`'s place.
    fn wait_before(&self, key: JobKey) -> Duration {
        self.wait_behind(self.waiting.range(..key).count() as u32)
    }

    /// Returns how soon room is expected behind all that wait.
    pub fn wait(&self) -> Duration {
        self.wait_behind(self.waiting())
    }

    fn wait_behind(&self, ahead: u32) -> Duration {
        let excess = (self.running + ahead + 1).saturating_sub(self.slots);
        self.service()
            .mul_f64(f64::from(excess) / f64::from(self.slots))
    }

    /// Starts waiting jobs while there is room. Jobs past their latest start
    /// are left to their own timers, which refuse them.
    fn grant(&mut self, now: Duration) -> Vec<JobKey> {
        let mut granted = Vec::new();
        while self.running < self.slots {
            let next = self.waiting.iter().find(|(_, job)| job.latest >= now);
            let Some((&key, job)) = next else {
                break;
            };
            self.books.judged(job.class, true);
            self.waiting.remove(&key);
            self.running += 1;
            granted.push(key);
        }
        granted
    }
}
