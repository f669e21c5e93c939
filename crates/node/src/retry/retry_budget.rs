//! One node's share of the retries that all nodes may make together.

use std::{
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

/// Part of the allowance that is used. The rest covers requests that the
/// bound doesn't see as this node does, on the edge of a window, and the calls that
/// repeated runs make again.
const USED_PART: f64 = 0.55;
/// Part of the allowance that may go to requests that have run, or may have. Each
/// makes its calls anew, and those count as repeats at the service that is called:
/// two calls a run fill what is left there.
const RERUN_PART: f64 = 0.25;
/// Width of a bucket: a tenth of a usual window, so that at most a tenth of
/// its requests are counted for too long.
const BUCKET: Duration = Duration::from_secs(1);

/// Terms of the bound that all nodes keep together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Further arrivals allowed for each request.
    pub ratio: f64,
    /// Further arrivals allowed besides, in all.
    pub slack: f64,
    /// Window over which they are counted.
    pub window: Duration,
}

/// A further try that is wanted.
#[derive(Debug, Clone, Copy)]
pub struct RetryNeed<'a> {
    /// Service that would get it.
    pub service: &'a str,
    /// Nodes that share the slack.
    pub nodes: usize,
    /// Whether an earlier try has run, or may have.
    pub runs_again: bool,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
    /// Of the retries, those of requests that have run, or may have.
    reruns: u32,
}

/// One node's share of the retries that all nodes may make together.
///
/// When a whole service is full, every first try fails on every node, and unbounded
/// second tries double the load just when it is too high. A node may use the ratio on
/// requests of its own, and its part of the slack by the number of nodes it knows. Both
/// add up to less than the common bound however the requests are spread, and when nodes
/// come or go only the slack is dealt anew.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    services: HashMap<Rc<str>, ServiceWindow>,
}

impl RetryBudget {
    /// Makes a budget under `limits`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::retry::{RetryBudget, RetryNeed, RetryLimits};
    ///
    /// let window = Duration::from_secs(10);
    /// let mut budget = RetryBudget::new(RetryLimits { ratio: 0.2, slack: 50.0, window });
    /// let need = RetryNeed { service: "prices", nodes: 10, runs_again: false };
    /// let granted = (0..20).filter(|_| budget.withdraw(Duration::ZERO, need)).count();
    /// assert_eq!(granted, 2);
    /// ```
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            services: HashMap::new(),
        }
    }

    /// Changes the terms.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Notes a request for a service.
    pub fn requested(&mut self, now: Duration, service: &Rc<str>) {
        let window = self.limits.window;
        let entry = self.services.entry(Rc::clone(service)).or_default();
        entry.bucket(now, window).requests += 1;
    }

    /// Takes a further try out of the budget, if it has one.
    pub fn withdraw(&mut self, now: Duration, need: RetryNeed<'_>) -> bool {
        let window = self.limits.window;
        let granted = self.has_room(now, need);
        if granted {
            let entry = self.services.entry(need.service.into()).or_default();
            let bucket = entry.bucket(now, window);
            bucket.retries += 1;
            bucket.reruns += u32::from(need.runs_again);
        }
        granted
    }

    /// Whether a further try would be granted.
    pub fn has_room(&self, now: Duration, need: RetryNeed<'_>) -> bool {
        let counts = match self.services.get(need.service) {
            Some(entry) => entry.counts(now, self.limits.window),
            None => Bucket::default(),
        };
        let own = self.limits.ratio * f64::from(counts.requests);
        let allowance = own + self.limits.slack / need.nodes.max(1) as f64;
        let fits = |used: u32, part: f64| f64::from(used) + 1.0 <= part * allowance;
        let rerun_fits = !need.runs_again || fits(counts.reruns, RERUN_PART);
        rerun_fits && fits(counts.retries, USED_PART)
    }
}

impl ServiceWindow {
    fn bucket(&mut self, now: Duration, window: Duration) -> &mut Bucket {
        let number = number_of(now);
        let oldest = oldest_of(now, window);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.number < oldest)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.number < number)
        {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        self.buckets.back_mut().expect("a bucket was just there")
    }

    /// Returns what is in the window, as one bucket. Of the oldest one, which the
    /// window may cut, only the retries count.
    fn counts(&self, now: Duration, window: Duration) -> Bucket {
        let oldest = oldest_of(now, window);
        let recent = self.buckets.iter().filter(|bucket| bucket.number >= oldest);
        recent.fold(Bucket::default(), |mut sum, bucket| {
            if bucket.number > oldest {
                sum.requests += bucket.requests;
            }
            sum.retries += bucket.retries;
            sum.reruns += bucket.reruns;
            sum
        })
    }
}

const fn number_of(now: Duration) -> u64 {
    now.as_secs() / BUCKET.as_secs()
}

fn oldest_of(now: Duration, window: Duration) -> u64 {
    number_of(now).saturating_sub(window.as_secs() / BUCKET.as_secs())
}
