//! A discrete-event loop around one guard and one backend server.

#![expect(dead_code, reason = "each test program uses a part of it")]

pub mod naive_queue;
pub mod run_report;
pub mod traffic;

use std::{collections::BTreeMap, time::Duration};

use geranium_decisions::admission::{
    AdmissionGate, AdmissionInput, AdmissionSettings, GateDecision, JobEnd, JobId, JobOffer,
    JobReport,
};
use run_report::{JobFate, RunReport};
use traffic::Arrival;

pub const SLOTS: u16 = 12;
pub const QUEUE: u16 = 64;
/// Jobs of 10 ms that the slots run in a second.
pub const CAPACITY: f64 = 1_200.0;

/// What stands before the backend server: the gate, or its naive twin.
pub trait Guard {
    fn offer(&mut self, now: Duration, offer: JobOffer);
    fn finish(&mut self, now: Duration, id: JobId, report: JobReport);
    fn poll(&mut self, now: Duration, out: &mut Vec<GateDecision>);
    fn next_wake(&self) -> Option<Duration>;
}

/// A gate that remembers its lowest limit.
#[derive(Debug)]
pub struct WatchedGate {
    gate: AdmissionGate,
    pub lowest_limit: u32,
}

impl WatchedGate {
    pub fn new(slots: u16) -> Self {
        Self {
            gate: gate(slots, QUEUE),
            lowest_limit: u32::from(slots),
        }
    }
}

impl Guard for &mut WatchedGate {
    fn offer(&mut self, now: Duration, offer: JobOffer) {
        self.gate.offer(now, offer);
    }
    fn finish(&mut self, now: Duration, id: JobId, report: JobReport) {
        self.gate.finish(now, id, report);
        self.lowest_limit = self.lowest_limit.min(self.gate.gauge().limit);
    }
    fn poll(&mut self, now: Duration, out: &mut Vec<GateDecision>) {
        self.gate.poll(now, out);
    }
    fn next_wake(&self) -> Option<Duration> {
        self.gate.next_wake()
    }
}

impl Guard for AdmissionGate {
    fn offer(&mut self, now: Duration, offer: JobOffer) {
        self.offer(now, offer);
    }
    fn finish(&mut self, now: Duration, id: JobId, report: JobReport) {
        self.finish(now, id, report);
    }
    fn poll(&mut self, now: Duration, out: &mut Vec<GateDecision>) {
        self.poll(now, out);
    }
    fn next_wake(&self) -> Option<Duration> {
        self.next_wake()
    }
}

pub fn gate(slots: u16, queue: u16) -> AdmissionGate {
    let input = AdmissionInput {
        slots,
        queue,
        bulk_share: 0.5,
    };
    AdmissionGate::new(AdmissionSettings::try_from(input).unwrap())
}

/// Speed of each running job at a time, with so many running.
pub type Speed = fn(f64, usize) -> f64;

pub fn steady(_: f64, _: usize) -> f64 {
    1.0
}

/// Steps at which the simulated speed is looked up again, in seconds.
const SPEED_STEP: f64 = 0.25;

/// Plays `arrivals` to `guard` and reports what each caller received.
pub fn play(mut guard: impl Guard, arrivals: &[Arrival], speed: Speed) -> RunReport {
    let mut fates = vec![JobFate::Held; arrivals.len()];
    let mut running: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    let mut out = Vec::new();
    let (mut now, mut next) = (0.0, 0);
    loop {
        let pace = speed(now, running.len());
        let left = running
            .values()
            .map(|(work, _)| *work)
            .fold(f64::INFINITY, f64::min);
        let ends_at = now + left / pace;
        let arrives_at = arrivals
            .get(next)
            .map_or(f64::INFINITY, |arrival| arrival.at);
        let wakes_at = guard
            .next_wake()
            .map_or(f64::INFINITY, |wake| wake.as_secs_f64().max(now + 1e-6));
        if running.is_empty() && next == arrivals.len() && wakes_at.is_infinite() {
            return RunReport::new(arrivals, fates);
        }
        let steps_at = ((now / SPEED_STEP).floor() + 1.0) * SPEED_STEP;
        let then = ends_at.min(arrives_at).min(wakes_at).min(steps_at);
        for (work, _) in running.values_mut() {
            *work -= (then - now) * pace;
        }
        now = then;
        let clock = Duration::from_secs_f64(now);
        while let Some((&index, &(_, since))) = running.iter().find(|(_, (work, _))| *work <= 1e-9)
        {
            running.remove(&index);
            fates[index] = JobFate::Ran { at: now };
            let service = Duration::from_secs_f64(now - since);
            guard.finish(
                clock,
                JobId(index as u64),
                JobReport {
                    service,
                    end: JobEnd::Ran,
                },
            );
        }
        if arrives_at <= now {
            guard.offer(clock, arrivals[next].offer(next));
            next += 1;
        }
        guard.poll(clock, &mut out);
        for decision in out.drain(..) {
            match decision {
                GateDecision::Run(JobId(id)) => {
                    let index = id as usize;
                    running.insert(index, (arrivals[index].work, now));
                }
                GateDecision::Refuse(JobId(id), refusal) => {
                    fates[id as usize] = JobFate::Refused { at: now, refusal };
                }
            }
        }
    }
}
