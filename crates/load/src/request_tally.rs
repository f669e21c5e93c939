//! Counting of ended requests.

use std::{collections::BTreeMap, time::Duration};

use geranium_model::RequestClass;
use hdrhistogram::Histogram;

use crate::{AnswerVerdict, ClassReport};

/// Longest latency that the histograms tell apart: an hour, in microseconds.
const LATENCY_MAX_US: u64 = 3_600_000_000;
/// Significant digits of a latency.
const LATENCY_DIGITS: u8 = 3;

/// How one request ended for its caller.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestResult {
    pub(crate) class: RequestClass,
    /// Whether it came from the first caller, which may be a hot one.
    pub(crate) hot: bool,
    /// Verdict on the last try; `None` when no ticket was to be had.
    pub(crate) verdict: Option<AnswerVerdict>,
    pub(crate) code: Option<u16>,
    pub(crate) tries: usize,
    /// Time between the intended start and the true one.
    pub(crate) late_by: Duration,
    /// Time from the intended start to the end of the last try.
    pub(crate) latency: Duration,
}

/// Counts and latencies of a number of requests.
#[derive(Debug)]
pub(crate) struct RequestTally {
    requests: u64,
    resends: u64,
    without_ticket: u64,
    verdicts: BTreeMap<AnswerVerdict, u64>,
    codes: BTreeMap<u16, u64>,
    good_us: Histogram<u64>,
    refused_us: Histogram<u64>,
}

impl RequestTally {
    pub(crate) fn new() -> Self {
        let histogram = || {
            Histogram::new_with_bounds(1, LATENCY_MAX_US, LATENCY_DIGITS)
                .expect("the bounds are constants in range")
        };
        Self {
            requests: 0,
            resends: 0,
            without_ticket: 0,
            verdicts: BTreeMap::new(),
            codes: BTreeMap::new(),
            good_us: histogram(),
            refused_us: histogram(),
        }
    }

    pub(crate) fn add(&mut self, result: &RequestResult) {
        self.requests += 1;
        self.resends += result.tries.saturating_sub(1) as u64;
        if let Some(code) = result.code.filter(|code| *code != 0) {
            *self.codes.entry(code).or_default() += 1;
        }
        let latency = result.latency.as_micros() as u64;
        match result.verdict {
            None => self.without_ticket += 1,
            Some(verdict) => {
                *self.verdicts.entry(verdict).or_default() += 1;
                match verdict {
                    AnswerVerdict::Whole => self.good_us.saturating_record(latency),
                    AnswerVerdict::Refused => self.refused_us.saturating_record(latency),
                    _ => {}
                }
            }
        }
    }

    pub(crate) fn report(&self, seconds: f64) -> ClassReport {
        let count = |verdict| self.verdicts.get(&verdict).copied().unwrap_or_default();
        let at = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        ClassReport {
            requests: self.requests,
            good: count(AnswerVerdict::Whole),
            goodput: count(AnswerVerdict::Whole) as f64 / seconds,
            wrong_answers: count(AnswerVerdict::Wrong),
            short_answers: count(AnswerVerdict::Short),
            refused: count(AnswerVerdict::Refused),
            unknown: count(AnswerVerdict::Unknown),
            broken: count(AnswerVerdict::Broken),
            unreachable: count(AnswerVerdict::Unreachable),
            without_ticket: self.without_ticket,
            resends: self.resends,
            p50_ms: at(&self.good_us, 0.5),
            p99_ms: at(&self.good_us, 0.99),
            p999_ms: at(&self.good_us, 0.999),
            refused_p50_ms: at(&self.refused_us, 0.5),
            refused_p99_ms: at(&self.refused_us, 0.99),
            codes: self.codes.clone(),
        }
    }
}
