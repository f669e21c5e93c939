//! One service of a report.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

use super::{BreakdownRow, IndicatorBurn, RuleBurn};
use crate::{
    ALERT_RULES, AlertRule, BurnInterval, BurnTally, ErrorBudget, IntervalHistory,
    ServiceObjective, TallyKey, Urgency,
};

/// Data centres shown for a service, the worst first: one at fault stands out,
/// and with three equal ones it isn't a data centre's fault.
const WORST_SHOWN: usize = 3;

/// A service's budgets and burn.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceBurn {
    /// Service.
    pub service: String,
    /// The most urgent that either promise calls for.
    pub urgency: Urgency,
    /// Milliseconds within which an answer counts as fast, as last promised.
    pub latency_ms: u32,
    /// The objective changed within the budget window; answers are weighed by
    /// the one at the end of their interval.
    pub objective_changed: bool,
    /// Answers left out as the caller's own fault.
    pub caller_faults: u64,
    /// Availability.
    pub availability: IndicatorBurn,
    /// Latency of good answers.
    pub latency: IndicatorBurn,
    /// Data centres of the callers' nodes with the highest burn.
    pub worst_data_centres: Vec<BreakdownRow>,
    /// Kinds of callers' requests, the highest burn first.
    pub kinds: Vec<BreakdownRow>,
}

impl ServiceBurn {
    /// Sums up a service.
    pub fn new(service: &str, objective: &ServiceObjective, history: &IntervalHistory) -> Self {
        let budget = history.budget_window();
        let tally = |window: Duration| sum(service, history.within(window));
        let rules: Vec<_> = ALERT_RULES
            .iter()
            .map(|rule| {
                (
                    rule,
                    tally(rule.slow_window(budget)),
                    tally(rule.fast_window(budget)),
                )
            })
            .collect();
        let evaluate = |part: fn(&BurnTally) -> ErrorBudget| {
            let judged = rules.iter().map(|(rule, slow, fast): &(&AlertRule, _, _)| {
                RuleBurn::new(rule, budget, part(slow), part(fast))
            });
            judged.collect()
        };
        let whole = tally(budget);
        let availability = IndicatorBurn::new(
            objective.availability,
            whole.availability,
            evaluate(|tally| tally.availability),
        );
        let latency = IndicatorBurn::new(
            objective.latency_share,
            whole.latency,
            evaluate(|tally| tally.latency),
        );
        let all = || history.within(budget);
        let mut worst = lines(service, all(), |key| key.data_centre.clone());
        worst.truncate(WORST_SHOWN);
        Self {
            service: service.to_owned(),
            urgency: availability.urgency.max(latency.urgency),
            latency_ms: objective.latency_ms,
            objective_changed: all().any(|interval| interval.changed_objectives.contains(service)),
            caller_faults: whole.caller_faults,
            availability,
            latency,
            worst_data_centres: worst,
            kinds: lines(service, all(), |key| key.kind.to_string()),
        }
    }
}

fn of_service<'a>(
    service: &'a str,
    intervals: impl Iterator<Item = &'a BurnInterval>,
) -> impl Iterator<Item = (&'a TallyKey, &'a BurnTally)> {
    let tallies = intervals.filter_map(|interval| interval.tallies.get(service));
    tallies.flatten()
}

fn sum<'a>(service: &'a str, intervals: impl Iterator<Item = &'a BurnInterval>) -> BurnTally {
    let mut sum = BurnTally::default();
    for (_, tally) in of_service(service, intervals) {
        sum += *tally;
    }
    sum
}

fn lines<'a>(
    service: &'a str,
    intervals: impl Iterator<Item = &'a BurnInterval>,
    name: impl Fn(&TallyKey) -> String,
) -> Vec<BreakdownRow> {
    let mut sums: BTreeMap<String, BurnTally> = BTreeMap::new();
    for (key, tally) in of_service(service, intervals) {
        *sums.entry(name(key)).or_default() += *tally;
    }
    let with_answers = sums
        .iter()
        .filter(|(_, tally)| tally.availability.total > 0);
    let mut lines: Vec<_> = with_answers
        .map(|(name, tally)| BreakdownRow::new(name, tally))
        .collect();
    lines.sort_by(|a, b| b.worst_burn().total_cmp(&a.worst_burn()));
    lines
}
