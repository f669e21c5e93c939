//! Runs at the local backend server.

use std::{collections::HashMap, time::Duration};

use hdrhistogram::Histogram;

use super::RunCounts;
use crate::member::EndpointStart;

/// Longest run time that is told apart, in milliseconds.
const TIME_MAX_MS: u64 = 60_000;
/// Significant decimal digits of run times.
const TIME_DIGITS: u8 = 1;
/// Largest number of routes that are counted. Further ones aren't compared.
const ROUTES_MAX: usize = 256;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// With a response after this time.
    Succeeded(Duration),
    /// With a response during the backend server's slow start, which says nothing about its speed.
    SucceededCold,
    /// With a server error, a lost response, or no response in time.
    Failed,
}

#[derive(Debug)]
struct RouteLedger {
    runs: u64,
    failures: u64,
    times: Histogram<u32>,
}

impl RouteLedger {
    fn new() -> Self {
        let times = Histogram::new_with_bounds(1, TIME_MAX_MS, TIME_DIGITS);
        Self {
            runs: 0,
            failures: 0,
            times: times.expect("the bounds are valid"),
        }
    }

    fn counts(&self) -> RunCounts {
        let times = self.times.iter_recorded();
        let times = times.map(|step| (step.value_iterated_to(), step.count_at_value().into()));
        RunCounts {
            runs: self.runs,
            failures: self.failures,
            times: times.collect(),
        }
    }
}

/// Counts how runs at the local backend server end, by route.
///
/// The counts belong to one start of the backend server and begin anew with the next.
#[derive(Debug, Default)]
pub struct RunLedger {
    start: Option<EndpointStart>,
    routes: HashMap<u64, RouteLedger>,
}

impl RunLedger {
    /// Records a run of `route_hash` at `start`.
    pub fn record(&mut self, start: &EndpointStart, route_hash: u64, outcome: RunOutcome) {
        if self.start.as_ref() != Some(start) {
            self.start = Some(start.clone());
            self.routes.clear();
        }
        if self.routes.len() >= ROUTES_MAX && !self.routes.contains_key(&route_hash) {
            return;
        }
        let route = self
            .routes
            .entry(route_hash)
            .or_insert_with(RouteLedger::new);
        route.runs += 1;
        match outcome {
            RunOutcome::Succeeded(took) => {
                route.times.saturating_record(took.as_millis() as u64);
            }
            RunOutcome::SucceededCold => {}
            RunOutcome::Failed => route.failures += 1,
        }
    }

    /// Returns the counts by route hash.
    pub fn counts(&self) -> Vec<(u64, RunCounts)> {
        let routes = self.routes.iter();
        routes
            .map(|(&route_hash, route)| (route_hash, route.counts()))
            .collect()
    }
}
