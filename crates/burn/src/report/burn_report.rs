//! Burn report of the fleet.

use std::collections::BTreeSet;

use geranium_node::result_code::ResultCode;
use serde::Serialize;

use super::ServiceBurn;
use crate::{BurnTracker, MissingNode};

/// Error budgets and burn of all services with an objective.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct BurnReport {
    /// Time of the newest sample, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Newest configuration version in force at any node.
    pub version: u64,
    /// Number of the report's result code: 0, or 504 for a partial report.
    pub code: u16,
    /// Whether `missing` lists any node.
    ///
    /// Nodes with earlier missing counts and restarted nodes make no report partial.
    pub partial: bool,
    /// Budget window in milliseconds.
    pub window_ms: u64,
    /// Milliseconds of the budget window that the samples cover.
    ///
    /// Budgets, counts and breakdowns refer to this length of time, and the burn by
    /// alert rule to the rule's windows.
    pub covered_ms: u64,
    /// Number of nodes read in the newest sample.
    pub nodes_read: usize,
    /// Nodes with recently missing counts: lost, or not read.
    ///
    /// Recent means within the first rule's slow window, or within the newest
    /// interval between samples if that is longer.
    pub missing: Vec<MissingNode>,
    /// Number of other nodes with missing counts earlier in the budget window.
    #[serde(rename = "older_losses")]
    pub older_missing: usize,
    /// Instances whose node restarted within the budget window.
    ///
    /// The counts between the old process's last reading and its end are lost.
    pub restarted: BTreeSet<String>,
    /// Services without an objective for which a node has counted responses.
    pub without_objective: BTreeSet<String>,
    /// Services with an objective, by falling urgency, then by falling burn.
    pub services: Vec<ServiceBurn>,
}

impl BurnReport {
    /// Returns the result code, from which the exit status is derived.
    pub const fn result(&self) -> ResultCode {
        if self.partial {
            ResultCode::PartialReport
        } else {
            ResultCode::Ok
        }
    }
}

impl From<&BurnTracker> for BurnReport {
    fn from(tracker: &BurnTracker) -> Self {
        let history = tracker.history();
        let window = history.budget_window();
        let (missing, older_missing) = tracker.missing_nodes();
        let covered = history
            .within(window)
            .map(|interval| interval.end_ms - interval.start_ms);
        let objectives = tracker.objectives().into_iter().flatten();
        let mut services: Vec<_> = objectives
            .map(|(name, objective)| ServiceBurn::new(name, objective, history))
            .collect();
        services.sort_by(|a, b| {
            let burn = |service: &ServiceBurn| {
                let kinds = service.kinds.first();
                kinds.map_or(0.0, super::BreakdownRow::worst_burn)
            };
            let by_urgency = b.urgency.cmp(&a.urgency);
            by_urgency.then_with(|| burn(b).total_cmp(&burn(a)))
        });
        let partial = !missing.is_empty();
        let mut report = Self {
            at_ms: tracker.at_ms(),
            version: tracker.version(),
            code: 0,
            partial,
            window_ms: window.as_millis() as u64,
            covered_ms: covered.sum(),
            nodes_read: tracker.nodes_read(),
            missing: missing.into_iter().cloned().collect(),
            older_missing,
            restarted: BTreeSet::new(),
            without_objective: BTreeSet::new(),
            services,
        };
        report.code = report.result().number();
        for interval in history.within(window) {
            report.restarted.extend(interval.restarted.iter().cloned());
            let names = interval.without_objective.iter().cloned();
            report.without_objective.extend(names);
        }
        report
    }
}
