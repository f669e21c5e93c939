//! How fast the lanes move, from what was measured.

use std::time::Duration;

use geranium_model::RequestClass;

use super::{AdmissionGate, JobLane, RETRY_MAX, RETRY_MIN};

impl AdmissionGate {
    pub(super) fn retry_after(&self, lane: JobLane, ahead: usize) -> Duration {
        self.wait_behind(lane, ahead).clamp(RETRY_MIN, RETRY_MAX)
    }

    /// Returns how long the lane takes to run `ahead` jobs and one more.
    pub(super) fn wait_behind(&self, lane: JobLane, ahead: usize) -> Duration {
        let Some(rate) = self.drain_rate(lane) else {
            return Duration::ZERO;
        };
        let seconds = (ahead + 1) as f64 / rate;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns jobs a second that leave the lane to run.
    pub(super) fn drain_rate(&self, lane: JobLane) -> Option<f64> {
        let service_us = self.lane_service_us(lane)?;
        let by_slots = f64::from(self.lane_slots(lane)) / (service_us.max(1.0) * 1e-6);
        Some(
            self.meters[lane as usize]
                .rate(service_us)
                .unwrap_or(by_slots),
        )
    }

    /// Returns the slots that a lane's jobs may hold.
    pub(super) fn lane_slots(&self, lane: JobLane) -> u32 {
        match lane {
            JobLane::Prompt => self.limit.get(),
            JobLane::Bulk => self.bulk_slots(),
        }
    }

    /// Returns the mean service time of what runs in a lane.
    pub(super) fn lane_service_us(&self, lane: JobLane) -> Option<f64> {
        let mean = |class: RequestClass| self.estimates[class as usize].mean_us();
        match lane {
            JobLane::Bulk => mean(RequestClass::Bulk),
            JobLane::Prompt => match (mean(RequestClass::Once), mean(RequestClass::Short)) {
                (Some(once), Some(short)) => Some(f64::midpoint(once, short)),
                (once, short) => once.or(short),
            },
        }
    }

    pub(super) fn expected_cost(&self, class: RequestClass) -> u64 {
        let mean = self.estimates[class as usize].mean_us();
        mean.map_or(1, |mean| mean.max(1.0) as u64)
    }

    pub(super) fn bulk_slots(&self) -> u32 {
        self.settings.bulk_slots(self.limit.get())
    }
}
