//! Refusals of queued requests that can't start in time any more.

use std::{collections::HashMap, time::Duration};

use super::{
    AdmissionQueue, DisplacedRequest, QueueKey,
    admission_queue::{RETRY_AFTER_MAX, RETRY_AFTER_MIN},
    queued_request::QueuedRequest,
    wait_plan::RUN_TIME_FACTOR,
};

impl AdmissionQueue {
    /// Returns the requests that were removed from the queue since the last call. They haven't run,
    /// and are to be refused at once, so that their senders can try elsewhere.
    pub fn take_displaced(&mut self) -> Vec<DisplacedRequest> {
        std::mem::take(&mut self.displaced)
    }

    /// Removes the requests with an account that are served behind `first` and can't start in time
    /// any more. Of a queue that is full, this removes those of the accounts that have had most.
    pub(super) fn displace_behind(&mut self, now: Duration, first: QueueKey) {
        let mut is_behind = false;
        self.displace(now, |key, queued| {
            let latest = queued.latest.min(now.saturating_add(queued.longest_plan));
            let latest =
                Some(latest).filter(|_| is_behind && queued.flow_request.flow.has_account());
            is_behind |= key == first;
            latest
        });
    }

    /// Removes the requests that can't start in time at the run times that are expected now.
    pub(super) fn displace_unstartable(&mut self, now: Duration) {
        let run_times: HashMap<u64, Duration> = self
            .waiting
            .values()
            .map(|queued| queued.route.route_hash)
            .map(|route_hash| (route_hash, self.expected_run_time_of(now, route_hash)))
            .collect();
        self.displace(now, |_, queued| {
            let run_time = run_times.get(&queued.route.route_hash)?;
            let latest = queued
                .useful_until
                .saturating_sub(run_time.mul_f64(RUN_TIME_FACTOR));
            Some(latest.min(queued.latest))
        });
    }

    /// Removes the queued requests that are expected to start later than `latest_of` returns.
    fn displace(
        &mut self,
        now: Duration,
        mut latest_of: impl FnMut(QueueKey, &QueuedRequest) -> Option<Duration>,
    ) {
        let mut ahead = 0;
        for key in self.schedule.service_order(&self.waiting) {
            let Some(&queued) = self.waiting.get(&key) else {
                continue;
            };
            let start = now + self.wait_behind(now, ahead);
            let latest = latest_of(key, &queued);
            let Some(latest) = latest.filter(|&latest| start > latest) else {
                ahead += 1;
                continue;
            };
            self.waiting.remove(&key);
            self.record_decision(queued.route, queued.flow_request, queued.late, false);
            let retry_after = start
                .saturating_sub(latest)
                .clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
            self.displaced.push(DisplacedRequest { key, retry_after });
        }
    }
}
