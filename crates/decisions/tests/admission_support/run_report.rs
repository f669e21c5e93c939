//! What the callers of a run received.

use std::collections::BTreeSet;

use geranium_decisions::admission::JobRefusal;
use hdrhistogram::Histogram;

use super::traffic::Arrival;

/// What became of a request; times in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum JobFate {
    Held,
    Ran { at: f64 },
    Refused { at: f64, refusal: JobRefusal },
}

/// Requests of a run with what became of them.
#[derive(Debug, Clone)]
pub struct RunReport {
    rows: Vec<(Arrival, JobFate)>,
}

impl RunReport {
    pub fn new(arrivals: &[Arrival], fates: Vec<JobFate>) -> Self {
        let rows = arrivals.iter().copied().zip(fates).collect();
        Self { rows }
    }

    /// Keeps the requests of `from..to` seconds.
    pub fn between(&self, from: f64, to: f64) -> Self {
        self.only(|arrival| (from..to).contains(&arrival.at))
    }

    /// Keeps the requests that `wanted` picks.
    pub fn only(&self, wanted: impl Fn(&Arrival) -> bool) -> Self {
        let rows = self.rows.iter().filter(|(arrival, _)| wanted(arrival));
        Self {
            rows: rows.copied().collect(),
        }
    }

    pub fn offered(&self) -> usize {
        self.rows.len()
    }

    /// Counts requests answered while their caller waited.
    pub fn good(&self) -> usize {
        self.answer_times().count()
    }

    pub fn good_share(&self) -> f64 {
        self.good() as f64 / self.offered() as f64
    }

    pub fn refused(&self) -> usize {
        self.rows
            .iter()
            .filter(|(_, fate)| matches!(fate, JobFate::Refused { .. }))
            .count()
    }

    pub fn held(&self) -> usize {
        self.rows
            .iter()
            .filter(|(_, fate)| *fate == JobFate::Held)
            .count()
    }

    /// Counts callers without any good answer.
    pub fn callers_unserved(&self) -> usize {
        let all: BTreeSet<u64> = self
            .rows
            .iter()
            .map(|(arrival, _)| arrival.caller)
            .collect();
        let good = self
            .rows
            .iter()
            .filter(|(arrival, fate)| is_good(arrival, fate));
        let served: BTreeSet<u64> = good.map(|(arrival, _)| arrival.caller).collect();
        all.len() - served.len()
    }

    /// Returns a percentile of how long callers waited for good answers, in
    /// milliseconds.
    pub fn good_ms(&self, percentile: f64) -> f64 {
        percentile_ms(self.answer_times(), percentile)
    }

    /// Returns a percentile of how long any outcome took; who left at the
    /// deadline waited for that long.
    pub fn outcome_ms(&self, percentile: f64) -> f64 {
        let times = self.rows.iter().map(|(arrival, fate)| match fate {
            JobFate::Ran { at } | JobFate::Refused { at, .. } => {
                (at - arrival.at).min(arrival.patience)
            }
            JobFate::Held => arrival.patience,
        });
        percentile_ms(times, percentile)
    }

    /// Returns a percentile of how late refusals were, in milliseconds.
    ///
    /// A refusal counts from the arrival or, for a job that was let wait, from
    /// the last moment at which it could have started and ended in time.
    pub fn refusal_ms(&self, percentile: f64) -> f64 {
        let late = self.rows.iter().filter_map(|(arrival, fate)| match fate {
            JobFate::Refused { at, .. } => {
                let hopeless = arrival.at + (arrival.patience - arrival.mean_work).max(0.0);
                Some((at - arrival.at).min((at - hopeless).max(0.0)))
            }
            _ => None,
        });
        percentile_ms(late, percentile)
    }

    /// Lists requests that arrived before `at` and ran only after it.
    pub fn waiting_at(&self, at: f64) -> Vec<(Arrival, f64)> {
        let rows = self.rows.iter().filter_map(|(arrival, fate)| match fate {
            JobFate::Ran { at: ended } => Some((*arrival, *ended)),
            _ => None,
        });
        let waits = rows.filter(|(arrival, ended)| arrival.at < at && ended - arrival.work > at);
        waits.collect()
    }

    /// Prints a line of figures for the docs.
    pub fn print(&self, label: &str) {
        let late = self.offered() - self.good() - self.refused();
        let [p50, p99, p999] = [50.0, 99.0, 99.9].map(|percentile| self.good_ms(percentile));
        println!(
            "{label:22} | offered {:6} good {:6} refused {:6} late {late:6} | \
             good ms p50 {p50:7.1} p99 {p99:7.1} p99.9 {p999:7.1} | \
             outcome ms p99 {:7.1} refusal late ms p99 {:4.1} | callers unserved {}",
            self.offered(),
            self.good(),
            self.refused(),
            self.outcome_ms(99.0),
            self.refusal_ms(99.0),
            self.callers_unserved(),
        );
    }

    fn answer_times(&self) -> impl Iterator<Item = f64> {
        self.rows.iter().filter_map(|(arrival, fate)| match fate {
            JobFate::Ran { at } if is_good(arrival, fate) => Some(at - arrival.at),
            _ => None,
        })
    }
}

fn is_good(arrival: &Arrival, fate: &JobFate) -> bool {
    matches!(fate, JobFate::Ran { at } if *at <= arrival.at + arrival.patience)
}

fn percentile_ms(seconds: impl Iterator<Item = f64>, percentile: f64) -> f64 {
    let mut histogram = Histogram::<u64>::new(3).unwrap();
    for time in seconds {
        histogram.record((time * 1e6) as u64).unwrap();
    }
    histogram.value_at_percentile(percentile) as f64 * 1e-3
}
