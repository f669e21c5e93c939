//! Who runs, who waits and who is refused.

use std::{collections::BTreeMap, time::Duration};

use super::class_books::{ClassBooks, ClassId};

/// Service time reserved when a job is admitted, as a multiple of the class mean. Covers
/// all but the slowest few runs.
const RUN_MARGIN: f64 = 1.6;
/// Longest wait, in mean runs, of what hasn't begun. In a shortage the queue is always as
/// long as it may be; it need only keep every slot busy, and more makes answers late.
const FRESH_WAIT: f64 = 0.5;
/// Jobs that may wait in any case: of fewer none is left when some come later than
/// usual, and a slot stands idle.
const PLACES_MIN: f64 = 4.0;
/// Wait of a job that was given up, in the time for which it did wait: how much
/// longer it would have been isn't known, only that it would.
const EXPIRED_WAIT: f64 = 1.5;
/// Least advice on when to come back: below it a caller only meets the same
/// queue again.
const RETRY_MIN: Duration = Duration::from_millis(20);
/// Longest advice: a queue that is refusing turns over in a few runs, and a
/// caller that stays away longer misses its own target.
const RETRY_MAX: Duration = Duration::from_millis(300);

/// A waiting job; the least runs next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey {
    /// Whether it has yet to begin; a call belongs to a run that has.
    fresh: bool,
    rank: u8,
    /// Whether it can't be answered in time any more.
    late: bool,
    target_deadline: Duration,
    order: u64,
}

/// A request that wants to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Rank of its route; 0 is the most urgent.
    pub rank: u8,
    /// Hash of its route, by which service times are kept.
    pub route_hash: u64,
    /// Whether it belongs to a run that has begun.
    pub nested: bool,
    /// Whether it may wait; it probes for a free slot otherwise.
    pub may_wait: bool,
    /// Time by which its answer is of full use.
    pub target_deadline: Duration,
    /// Time at which its caller gets a final answer.
    pub ends_at: Duration,
}

/// What becomes of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Run,
    /// Every slot is taken, and it may not wait.
    Busy,
    /// It waits; refuse it when it still does at `latest`.
    Wait {
        /// Key by which it is granted or withdrawn.
        key: QueueKey,
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
/// A queue in order of arrival without a bound serves everyone late once more is asked
/// for than the slots carry, and a bound by number alone is too long for a slow backend
/// server and too short for a fast one. So a job that can't be answered in time at the
/// current pace is refused on arrival, with the time in which the excess drains.
///
/// Calls of runs that have begun go first and wait as long as those do, as each that is
/// turned away wastes the run that made it. The rest waits for a short time at most, by
/// rank, then by the time until which its answer is of use. A job that is late already
/// goes behind its rank. A class that is served clearly more often than one of its rank
/// or above is refused until that has caught up (`ClassBooks`). The pace is taken from
/// how long places in the queue really took, as jobs are overtaken. A job that waits is
/// refused as soon as starting it is of no use.
#[derive(Debug)]
pub struct AdmissionQueue {
    slots: u32,
    running: u32,
    order: u64,
    waiting: BTreeMap<QueueKey, WaitingJob>,
    books: ClassBooks,
}

#[derive(Debug, Clone, Copy)]
struct WaitingJob {
    class_id: ClassId,
    late: bool,
    latest: Duration,
    asked_at: Duration,
    /// Wait as it would be if nothing overtook it.
    planned: Duration,
}

impl AdmissionQueue {
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
    pub fn set_slots(&mut self, now: Duration, slots: u32) -> Vec<QueueKey> {
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
    pub fn service_of(&self, route_hash: u64) -> Duration {
        self.books.service_of(ClassId {
            rank: 0,
            route_hash,
        })
    }

    /// Offers a job.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::inbound::{AdmissionQueue, AdmissionRequest, AdmissionDecision};
    ///
    /// let mut queue = AdmissionQueue::new(1);
    /// let target_deadline = Duration::from_millis(400);
    /// let ends_at = Duration::from_millis(1_000);
    /// let offer =
    ///     AdmissionRequest { rank: 1, route_hash: 7, nested: false, may_wait: true, target_deadline, ends_at };
    /// assert_eq!(queue.offer(Duration::ZERO, offer), AdmissionDecision::Run);
    /// assert!(matches!(queue.offer(Duration::ZERO, offer), AdmissionDecision::Wait { .. }));
    /// let freed = queue.finish(Duration::from_millis(100), 7, Some(Duration::from_millis(100)));
    /// assert_eq!(freed.len(), 1);
    /// ```
    pub fn offer(&mut self, now: Duration, offer: AdmissionRequest) -> AdmissionDecision {
        let class_id = ClassId {
            rank: offer.rank,
            route_hash: offer.route_hash,
        };
        if self.running >= self.slots && !offer.may_wait {
            return AdmissionDecision::Busy;
        }
        self.books.offered(now, class_id);
        let service = self.books.service_of(class_id);
        let late = !offer.nested && now + service > offer.target_deadline;
        if self.running < self.slots {
            self.running += 1;
            self.judge(class_id, late, true);
            return AdmissionDecision::Run;
        }
        if !offer.nested && self.books.is_ahead(now, class_id) {
            return self.refuse(class_id, late, self.wait());
        }
        self.order += 1;
        let key = QueueKey {
            fresh: !offer.nested,
            rank: offer.rank,
            late,
            target_deadline: offer.target_deadline,
            order: self.order,
        };
        let end = if offer.nested || late {
            offer.ends_at
        } else {
            offer.target_deadline
        };
        let mut latest = end.saturating_sub(service.mul_f64(RUN_MARGIN));
        if let Some(longest) = self.longest_wait(service).filter(|_| !offer.nested) {
            latest = latest.min(now + longest);
        }
        let planned = self.wait_before(key);
        let start = now + self.books.real_wait(class_id, late, planned);
        if start > latest {
            return self.refuse(class_id, late, start.saturating_sub(latest));
        }
        let job = WaitingJob {
            class_id,
            late,
            latest,
            asked_at: now,
            planned,
        };
        self.waiting.insert(key, job);
        AdmissionDecision::Wait { key, latest }
    }

    /// Returns how long a job of this mean run may wait that hasn't begun. After a
    /// start no run has ended yet, and nothing but its target bounds it.
    fn longest_wait(&self, service: Duration) -> Option<Duration> {
        let turn = self.service().div_f64(self.slots.into());
        let longest = service.mul_f64(FRESH_WAIT).max(turn.mul_f64(PLACES_MIN));
        (longest > Duration::ZERO).then_some(longest)
    }

    /// Notes whether a job that can be in time got a slot. What comes again
    /// after a refusal was noted then.
    fn judge(&mut self, class_id: ClassId, late: bool, served: bool) {
        if !late {
            self.books.judged(class_id, served);
        }
    }

    fn refuse(&mut self, class_id: ClassId, late: bool, wait: Duration) -> AdmissionDecision {
        self.judge(class_id, late, false);
        self.books.passed_over(class_id, late);
        let retry_after = wait.clamp(RETRY_MIN, RETRY_MAX);
        AdmissionDecision::Refuse { retry_after }
    }

    /// Refuses a waiting job whose latest start has passed; `false` if it
    /// doesn't wait any more.
    pub fn expire(&mut self, key: QueueKey) -> bool {
        let job = self.waiting.remove(&key);
        if let Some(job) = job {
            self.judge(job.class_id, job.late, false);
            let waited = job.latest.saturating_sub(job.asked_at);
            self.note_wait(job, waited.mul_f64(EXPIRED_WAIT));
        }
        job.is_some()
    }

    /// Withdraws a waiting job whose caller left; `false` if it doesn't wait
    /// any more.
    pub fn withdraw(&mut self, key: QueueKey) -> bool {
        self.waiting.remove(&key).is_some()
    }

    /// Takes in that a job ended and returns the jobs that run now.
    ///
    /// `took` is the time of a whole run; `None` when it was cut short, which
    /// says nothing about the pace.
    pub fn finish(
        &mut self,
        now: Duration,
        route_hash: u64,
        took: Option<Duration>,
    ) -> Vec<QueueKey> {
        self.running = self.running.saturating_sub(1);
        if let Some(took) = took {
            self.books.ran(route_hash, took);
        }
        self.grant(now)
    }

    fn note_wait(&mut self, job: WaitingJob, waited: Duration) {
        self.books
            .waited(job.class_id, job.late, job.planned, waited);
    }

    /// Returns how soon room is expected for a job at `key`'s place.
    fn wait_before(&self, key: QueueKey) -> Duration {
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
    fn grant(&mut self, now: Duration) -> Vec<QueueKey> {
        let mut granted = Vec::new();
        while self.running < self.slots {
            let next = self.waiting.iter().find(|(_, job)| job.latest >= now);
            let Some((&key, &job)) = next else {
                break;
            };
            self.judge(job.class_id, job.late, true);
            self.note_wait(job, now.saturating_sub(job.asked_at));
            self.waiting.remove(&key);
            self.running += 1;
            granted.push(key);
        }
        granted
    }
}
