//! Retry budget of one node.

use std::{
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

/// Share of a service's allowance that retries of its requests may use. The rest covers requests at
/// the edges of a window, which a check of [`RetryLimits`] over all nodes may count differently
/// from this node, and nested calls that are repeated when a request of another service runs again.
const RETRY_SHARE: f64 = 0.55;
/// Share of a service's allowance for retries of requests that have run, or may have. Each of them
/// repeats its nested calls, which count as retries at the called service. With two calls per run,
/// that is half of an allowance of the same size; `RETRY_SHARE` leaves 0.45.
const RERUN_SHARE: f64 = 0.25;
/// Width of a bucket: a tenth of a usual window. Retries are counted for up to this time too long,
/// and requests for up to this time too short, so the budget errs on the low side.
const BUCKET_WIDTH: Duration = Duration::from_secs(1);

/// Limit on the retries of all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Additional retries allowed per service and window, for all nodes together.
    pub slack: f64,
    /// Sliding window over which requests and retries are counted.
    pub window: Duration,
}

/// Another try of a request, for which the budget is asked.
#[derive(Debug, Clone, Copy)]
pub struct RetryQuery<'a> {
    /// Name of the service to which the request would be sent.
    pub service: &'a str,
    /// Number of nodes that share the slack.
    pub nodes: usize,
    /// Whether an earlier try of the request has run, or may have.
    pub may_rerun: bool,
}

/// Requests and retries of one service within the window.
#[derive(Debug, Default)]
struct ServiceWindow {
    buckets: VecDeque<WindowBucket>,
}

/// Requests, retries and reruns of one interval of `BUCKET_WIDTH`, or a sum of several.
#[derive(Debug, Clone, Copy, Default)]
struct WindowBucket {
    /// Index of the interval, counted in `BUCKET_WIDTH` from the start of the clock.
    number: u64,
    requests: u32,
    retries: u32,
    /// Number of the retries of requests that have run, or may have.
    reruns: u32,
}

/// One node's share of the retries that all nodes together may make.
///
/// When a whole service is full, every first try fails on every node, and unlimited second tries
/// would double the load just when it is too high. A node may use the ratio of its own requests,
/// and its part of the slack, which is divided by the number of nodes it knows. The budgets of all
/// nodes add up to less than the limit on all of them, however the requests are spread over the
/// nodes. When nodes come or go, only the parts of the slack change.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    services: HashMap<Rc<str>, ServiceWindow>,
    /// Part of a retry that is added to each allowance, from 0 to 1.
    ///
    /// A node can only make whole retries. With some requests a second, the part that it would
    /// lose is a fifth of its allowance. Random offsets make the sum over many nodes come out
    /// even (dithering).
    rounding: f64,
}

impl RetryBudget {
    /// Creates a budget under `limits`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::retry::{RetryBudget, RetryQuery, RetryLimits};
    ///
    /// let window = Duration::from_secs(10);
    /// let mut budget = RetryBudget::new(RetryLimits { ratio: 0.2, slack: 50.0, window });
    /// let retry_query = RetryQuery { service: "prices", nodes: 10, may_rerun: false };
    /// let granted = (0..20).filter(|_| budget.withdraw(Duration::ZERO, retry_query)).count();
    /// assert_eq!(granted, 2);
    /// ```
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            services: HashMap::new(),
            rounding: 0.0,
        }
    }

    /// Sets the part of a retry, from 0 to 1, that is added to each allowance before it is rounded
    /// down. Each node draws it once.
    #[must_use]
    pub const fn with_rounding(mut self, rounding: f64) -> Self {
        self.rounding = rounding;
        self
    }

    /// Replaces the limits; the counts stay.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Counts a new request for a service.
    pub fn record_request(&mut self, now: Duration, service: &Rc<str>) {
        let window = self.limits.window;
        let entry = self.services.entry(Rc::clone(service)).or_default();
        entry.bucket(now, window).requests += 1;
    }

    /// Withdraws another try from the budget, and returns whether it was granted.
    pub fn withdraw(&mut self, now: Duration, retry_query: RetryQuery<'_>) -> bool {
        let window = self.limits.window;
        let granted = self.would_grant(now, retry_query);
        if granted {
            let entry = self.services.entry(retry_query.service.into()).or_default();
            let bucket = entry.bucket(now, window);
            bucket.retries += 1;
            bucket.reruns += u32::from(retry_query.may_rerun);
        }
        granted
    }

    /// Whether [`RetryBudget::withdraw`] would grant another try.
    pub fn would_grant(&self, now: Duration, retry_query: RetryQuery<'_>) -> bool {
        let counts = match self.services.get(retry_query.service) {
            Some(entry) => entry.counts(now, self.limits.window),
            None => WindowBucket::default(),
        };
        let own_allowance = self.limits.ratio * f64::from(counts.requests);
        let allowance = own_allowance + self.limits.slack / retry_query.nodes.max(1) as f64;
        let fits =
            |used: u32, share: f64| f64::from(used) + 1.0 <= share * allowance + self.rounding;
        let rerun_fits = !retry_query.may_rerun || fits(counts.reruns, RERUN_SHARE);
        rerun_fits && fits(counts.retries, RETRY_SHARE)
    }
}

impl ServiceWindow {
    fn bucket(&mut self, now: Duration, window: Duration) -> &mut WindowBucket {
        let number = bucket_number(now);
        let oldest = oldest_bucket(now, window);
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
            self.buckets.push_back(WindowBucket {
                number,
                ..WindowBucket::default()
            });
        }
        self.buckets.back_mut().expect("the current bucket exists")
    }

    /// Returns the sum of all buckets in the window.
    ///
    /// Of the oldest bucket, which may lie partly outside the window, only the retries and reruns
    /// count, so that the budget errs on the low side.
    fn counts(&self, now: Duration, window: Duration) -> WindowBucket {
        let oldest = oldest_bucket(now, window);
        let recent = self.buckets.iter().filter(|bucket| bucket.number >= oldest);
        recent.fold(WindowBucket::default(), |mut sum, bucket| {
            if bucket.number > oldest {
                sum.requests += bucket.requests;
            }
            sum.retries += bucket.retries;
            sum.reruns += bucket.reruns;
            sum
        })
    }
}

const fn bucket_number(now: Duration) -> u64 {
    now.as_secs() / BUCKET_WIDTH.as_secs()
}

fn oldest_bucket(now: Duration, window: Duration) -> u64 {
    bucket_number(now).saturating_sub(window.as_secs() / BUCKET_WIDTH.as_secs())
}
