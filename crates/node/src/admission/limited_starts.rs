//! Starts of requests at the rate that the backend server takes.

use std::time::Duration;

use super::{AdmissionQueue, QueueKey};
use crate::rate_limit::{RateLimiter, RequestRate};

impl AdmissionQueue {
    /// Sets the limit that the backend server names, and returns the requests that start now.
    pub fn set_limit(&mut self, now: Duration, limit: Option<RequestRate>) -> Vec<QueueKey> {
        self.limiter = limit.map(|rate| match self.limiter {
            Some(mut limiter) => {
                limiter.set_rate(now, rate);
                limiter
            }
            None => RateLimiter::new(now, rate),
        });
        self.grant(now)
    }

    /// Starts the requests that the limit allows by now, and returns them.
    pub fn resume_limited(&mut self, now: Duration) -> Vec<QueueKey> {
        self.grant(now)
    }

    /// Returns when the limit allows the next start; none if no request waits for that.
    pub fn next_limited_start(&self, now: Duration) -> Option<Duration> {
        if self.running >= self.slots {
            return None;
        }
        let limiter = self.limiter?;
        let mut waiting = self.waiting.iter();
        let waits_for_limit = waiting
            .any(|(key, queued)| queued.latest >= now && !(key.is_new && self.starts_paused));
        waits_for_limit.then(|| now + limiter.wait(now, 0))
    }

    /// Returns whether the limit, and not the slots, delays a request that arrives now.
    pub fn is_limit_binding(&self, now: Duration) -> bool {
        self.limit_wait(now, self.waiting()) > self.slot_wait(now, self.waiting())
    }

    /// Returns how long the limit delays a request that starts after `ahead` others.
    pub fn limit_wait(&self, now: Duration, ahead: u32) -> Duration {
        self.limiter
            .map_or(Duration::ZERO, |limiter| limiter.wait(now, ahead))
    }
}
