//! Error budgets and burn of one service.

use std::{collections::BTreeMap, time::Duration};

use serde::Serialize;

use super::{BreakdownRow, IndicatorBurn, RuleBurn};
use crate::{
    ALERT_RULES, AlertRule, BudgetTally, BurnInterval, BurnTally, IntervalHistory,
    ServiceObjective, TallyKey, Urgency,
};

/// Number of data centres shown for a service, the highest burn first.
///
/// Three are enough to tell whether one data centre is at fault: it then stands
/// out, and otherwise the three are about equal.
const DATA_CENTRES_SHOWN: usize = 3;

/// Report entry of one service: its budgets, burn and urgency.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceBurn {
    /// Name of the service.
    pub service: String,
    /// Higher urgency of availability and latency.
    pub urgency: Urgency,
    /// Longest latency of a fast response in milliseconds.
    ///
    /// The value is that of the newest sample's objective.
    pub latency_ms: u32,
    /// Whether the objective changed within the budget window.
    ///
    /// Responses count by the objective at the end of their interval.
    pub objective_changed: bool,
    /// Responses in neither budget, as the request itself was at fault.
    ///
    /// These are the responses with result `caller-fault`.
    pub caller_faults: u64,
    /// Availability: the share of good responses.
    pub availability: IndicatorBurn,
    /// Latency: the share of fast responses among the good ones.
    pub latency: IndicatorBurn,
    /// Data centres of the callers' nodes with the highest burn, at most three.
    pub worst_data_centres: Vec<BreakdownRow>,
    /// Request kinds, the highest burn first.
    pub kinds: Vec<BreakdownRow>,
}

impl ServiceBurn {
    /// Computes the entry of a service from its intervals.
    pub fn new(service: &str, objective: &ServiceObjective, history: &IntervalHistory) -> Self {
        let budget_window = history.budget_window();
        let tally = |window: Duration| sum(service, history.within(window));
        let rule_tallies: Vec<_> = ALERT_RULES
            .iter()
            .map(|rule| {
                (
                    rule,
                    tally(rule.slow_window(budget_window)),
                    tally(rule.fast_window(budget_window)),
                )
            })
            .collect();
        let rule_burns = |budget_of: fn(&BurnTally) -> BudgetTally| {
            let burns = rule_tallies
                .iter()
                .map(|(rule, slow, fast): &(&AlertRule, _, _)| {
                    RuleBurn::new(rule, budget_window, budget_of(slow), budget_of(fast))
                });
            burns.collect()
        };
        let over_budget_window = tally(budget_window);
        let availability = IndicatorBurn::new(
            objective.availability,
            over_budget_window.availability,
            rule_burns(|tally| tally.availability),
        );
        let latency = IndicatorBurn::new(
            objective.latency_share,
            over_budget_window.latency,
            rule_burns(|tally| tally.latency),
        );
        let all_intervals = || history.within(budget_window);
        let mut worst = breakdown(service, all_intervals(), |key| key.data_centre.clone());
        worst.truncate(DATA_CENTRES_SHOWN);
        Self {
            service: service.to_owned(),
            urgency: availability.urgency.max(latency.urgency),
            latency_ms: objective.latency_ms,
            objective_changed: all_intervals()
                .any(|interval| interval.changed_objectives.contains(service)),
            caller_faults: over_budget_window.caller_faults,
            availability,
            latency,
            worst_data_centres: worst,
            kinds: breakdown(service, all_intervals(), |key| key.kind.to_string()),
        }
    }
}

/// Returns the tallies of a service in the intervals.
fn tallies_of<'a>(
    service: &'a str,
    intervals: impl Iterator<Item = &'a BurnInterval>,
) -> impl Iterator<Item = (&'a TallyKey, &'a BurnTally)> {
    let tallies = intervals.filter_map(|interval| interval.tallies.get(service));
    tallies.flatten()
}

/// Adds up the tallies of a service in the intervals.
fn sum<'a>(service: &'a str, intervals: impl Iterator<Item = &'a BurnInterval>) -> BurnTally {
    let mut sum = BurnTally::default();
    for (_, tally) in tallies_of(service, intervals) {
        sum += *tally;
    }
    sum
}

/// Returns a service's burn by the name that `name` derives from a key.
///
/// The highest burn is first; names without responses are left out.
fn breakdown<'a>(
    service: &'a str,
    intervals: impl Iterator<Item = &'a BurnInterval>,
    name: impl Fn(&TallyKey) -> String,
) -> Vec<BreakdownRow> {
    let mut sums: BTreeMap<String, BurnTally> = BTreeMap::new();
    for (key, tally) in tallies_of(service, intervals) {
        *sums.entry(name(key)).or_default() += *tally;
    }
    let with_responses = sums
        .iter()
        .filter(|(_, tally)| tally.availability.total > 0);
    let mut breakdown: Vec<_> = with_responses
        .map(|(name, tally)| BreakdownRow::new(name, tally))
        .collect();
    breakdown.sort_by(|a, b| b.worst_burn().total_cmp(&a.worst_burn()));
    breakdown
}
