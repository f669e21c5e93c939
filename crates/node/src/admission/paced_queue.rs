//! Run times and waits at the pace that the backend server reports.

use std::time::Duration;

use super::{AdmissionQueue, QueueKey, route_statistics::RankedRoute};
use crate::pace::{FinishedRun, PaceRatio, PaceTracker, RunPrediction, ServerLoad};

/// Increase of the pace from which on queued requests are looked through for those that can't start
/// in time any more.
const WORSE_FACTOR: f64 = 1.1;

impl AdmissionQueue {
    /// Records a load that the backend server reported.
    ///
    /// `own_requests` is the number of requests of this node that ran there when the report may have
    /// been made. If the pace got worse, queued requests that can't start in time any more are
    /// removed: [`take_displaced`](Self::take_displaced) returns them.
    pub fn record_server_load(&mut self, now: Duration, load: &ServerLoad, own_requests: u32) {
        let before = self.pace_factor(now);
        let own_requests = own_requests.max(self.running);
        self.pace.observe(now, load, own_requests);
        if self.pace_factor(now) > before * WORSE_FACTOR {
            self.displace_unstartable(now);
        }
    }

    /// Forgets the load that an earlier start of the backend server reported.
    pub fn forget_server_load(&mut self) {
        if self.pace.reported_pace(Duration::ZERO).is_some() {
            self.statistics.forget_base_runs();
        }
        self.pace = PaceTracker::default();
    }

    /// Returns how long a run of this route is expected to take that begins now, with and without
    /// the reported pace. Returns none while no pace or no run time is known.
    pub fn predict_run(&self, now: Duration, route_hash: u64) -> Option<RunPrediction> {
        if !self.pace.has_pace(now) {
            return None;
        }
        let route = RankedRoute {
            rank: 0,
            route_hash,
        };
        let base_run_time = self.statistics.base_run_time_of(route)?;
        let run_time = self.statistics.mean_run_time_of(route);
        Some(RunPrediction {
            with_pace_s: base_run_time.as_secs_f64() * self.pace.reported_factor(now),
            without_pace_s: run_time.as_secs_f64(),
        })
    }

    /// Frees the slot of an ended run and returns the requests that start now.
    pub fn finish_run(&mut self, now: Duration, run: FinishedRun) -> Vec<QueueKey> {
        self.running = self.running.saturating_sub(1);
        if let Some(took) = run.took {
            self.statistics.record_run(run.route_hash, took);
            if let Some(pace) = run.pace {
                let base_run_time = took.div_f64(pace.factor());
                self.statistics
                    .record_base_run(run.route_hash, base_run_time);
            }
            if let Some(prediction) = run.prediction {
                self.pace.record_run(took, prediction);
            }
        }
        self.grant(now)
    }

    /// Returns the pace that run times are expected at; none while it isn't reported, or doesn't help
    /// to predict them.
    pub fn pace(&self, now: Duration) -> Option<PaceRatio> {
        if !(self.pace.is_trusted() && self.pace.has_pace(now)) {
            return None;
        }
        PaceRatio::from_factor(self.pace.reported_factor(now))
    }

    /// Returns the reported pace and its age, whether it is used or not; none if none was reported.
    pub fn reported_pace(&self, now: Duration) -> Option<(PaceRatio, Duration)> {
        self.pace.reported_pace(now)
    }

    /// Returns the number of requests at the backend server that came from elsewhere.
    pub fn elsewhere(&self, now: Duration) -> u32 {
        self.pace.elsewhere(now)
    }

    /// Returns how long a run is expected to take that begins now, over all routes; zero while
    /// unknown.
    pub fn expected_run_time(&self, now: Duration) -> Duration {
        let base_run_time = self.statistics.base_run_time();
        let base_run_time = base_run_time.filter(|_| self.pace.is_trusted());
        base_run_time.map_or_else(
            || self.statistics.mean_run_time(),
            |base_run_time| base_run_time.mul_f64(self.pace_factor(now)),
        )
    }

    /// Returns how long a run of one route is expected to take that begins now, or of all routes
    /// while unknown.
    pub fn expected_run_time_of(&self, now: Duration, route_hash: u64) -> Duration {
        let route = RankedRoute {
            rank: 0,
            route_hash,
        };
        let base_run_time = self.statistics.base_run_time_of(route);
        let base_run_time = base_run_time.filter(|_| self.pace.is_trusted());
        base_run_time.map_or_else(
            || self.statistics.mean_run_time_of(route),
            |base_run_time| base_run_time.mul_f64(self.pace_factor(now)),
        )
    }

    /// Returns the expected run times as a multiple of the base run times; 1 while the reported pace
    /// isn't used.
    fn pace_factor(&self, now: Duration) -> f64 {
        if self.pace.is_trusted() {
            self.pace.reported_factor(now)
        } else {
            1.0
        }
    }
}
