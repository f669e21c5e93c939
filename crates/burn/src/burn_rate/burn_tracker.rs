//! Turns cumulative samples into intervals, and notes what was lost.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{ALERT_RULES, BurnInterval, BurnTally, IntervalHistory, TallyKey};
use crate::{FleetSample, MissingNode, NodeReading, Objectives};

/// Reason noted for an instance that left after it had been read.
const LEFT: &str = "left the fleet; its counts since its last sample are lost";

/// Everything that reports are made from.
///
/// The first reading of a node is only a base: what it counted before isn't
/// taken for part of the window. A node that couldn't be read for a while loses
/// nothing unless it restarted: its next reading holds the missed counts, which
/// then belong to the interval of that reading.
#[derive(Debug)]
pub struct BurnTracker {
    history: IntervalHistory,
    last: BTreeMap<String, NodeReading>,
    /// Nodes with lost or unread counts, and when that was found.
    losses: BTreeMap<String, (u64, MissingNode)>,
    newest: Option<NewestSample>,
}

/// What is kept of the newest sample.
#[derive(Debug)]
struct NewestSample {
    at_ms: u64,
    version: u64,
    objectives: Objectives,
    nodes: usize,
}

impl BurnTracker {
    /// Keeps the intervals of so long a budget window.
    pub const fn new(budget_window: Duration) -> Self {
        Self {
            history: IntervalHistory::new(budget_window),
            last: BTreeMap::new(),
            losses: BTreeMap::new(),
            newest: None,
        }
    }

    /// Takes in the next sample.
    pub fn add(&mut self, sample: FleetSample) {
        let before = self.newest.take();
        let start_ms = before.as_ref().map(|newest| newest.at_ms);
        let former = before.map(|newest| newest.objectives).unwrap_or_default();
        let mut interval = BurnInterval {
            // The operator's clock may have been set back between two runs.
            start_ms: start_ms.unwrap_or(sample.at_ms).min(sample.at_ms),
            end_ms: sample.at_ms,
            changed_objectives: changed_objectives(&former, &sample.objectives),
            ..BurnInterval::default()
        };
        self.forget_old_losses(sample.at_ms);
        self.note_losses(&sample);
        self.newest = Some(NewestSample {
            at_ms: sample.at_ms,
            version: sample.version,
            nodes: sample.nodes.len(),
            objectives: sample.objectives,
        });
        for reading in sample.nodes {
            self.add_reading(&mut interval, reading, &former);
        }
        if start_ms.is_some() {
            self.history.push(interval);
        }
    }

    /// Returns the intervals.
    pub const fn history(&self) -> &IntervalHistory {
        &self.history
    }

    /// Returns when the newest sample was taken, 0 before the first.
    pub fn at_ms(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.at_ms)
    }

    /// Returns the version of the newest sample.
    pub fn version(&self) -> u64 {
        let newest = self.newest.as_ref();
        newest.map_or(0, |newest| newest.version)
    }

    /// Returns the objectives of the newest sample.
    pub fn objectives(&self) -> Option<&Objectives> {
        self.newest.as_ref().map(|newest| &newest.objectives)
    }

    /// Returns how many nodes the newest sample holds.
    pub fn nodes_read(&self) -> usize {
        self.newest.as_ref().map_or(0, |newest| newest.nodes)
    }

    /// Returns the nodes with counts lost lately, and how many more lost some
    /// earlier in the budget window.
    ///
    /// Lately is the slow window of the first rule, or the newest interval if
    /// that is longer. Instances fail daily; if one of last week made today's
    /// report partial, every report would be.
    pub fn losses(&self) -> (Vec<&MissingNode>, usize) {
        let window = self.history.budget_window();
        let newest = self.history.within(Duration::ZERO).last();
        let span_ms = newest.map_or(0, |interval| interval.end_ms - interval.start_ms);
        let lately_ms = span_ms.max(ALERT_RULES[0].slow_window(window).as_millis() as u64);
        let age_ms = |at_ms: u64| self.at_ms().saturating_sub(at_ms);
        let (late, early): (Vec<_>, Vec<_>) = self
            .losses
            .values()
            .filter(|(at_ms, _)| u128::from(age_ms(*at_ms)) <= window.as_millis())
            .partition(|(at_ms, _)| age_ms(*at_ms) <= lately_ms);
        let late = late.into_iter().map(|(_, node)| node).collect();
        (late, early.len())
    }

    /// Forgets instances that left a whole budget window ago.
    fn forget_old_losses(&mut self, now_ms: u64) {
        let window = self.history.budget_window();
        let last = &mut self.last;
        self.losses.retain(|_, (at_ms, node)| {
            let is_old = u128::from(now_ms.saturating_sub(*at_ms)) > window.as_millis();
            if let Some(instance) = node.instance.as_ref().filter(|_| is_old) {
                last.remove(instance);
            }
            !is_old
        });
    }

    fn note_losses(&mut self, sample: &FleetSample) {
        let read: BTreeSet<_> = sample.nodes.iter().map(|node| &node.instance).collect();
        let unread: BTreeSet<_> = sample
            .missing
            .iter()
            .filter_map(|node| node.instance.as_ref())
            .collect();
        for node in &sample.missing {
            self.losses.insert(key(node), (sample.at_ms, node.clone()));
        }
        for instance in self.last.keys() {
            if read.contains(instance) {
                self.losses.remove(instance.as_str());
            } else if !unread.contains(instance) {
                let node = MissingNode {
                    instance: Some(instance.clone()),
                    admin_addr: None,
                    reason: LEFT.to_owned(),
                };
                let known = self.losses.get(instance.as_str());
                if known.is_none_or(|(_, known)| known.reason != LEFT) {
                    self.losses.insert(key(&node), (sample.at_ms, node));
                }
            }
        }
    }

    fn add_reading(
        &mut self,
        interval: &mut BurnInterval,
        reading: NodeReading,
        former: &Objectives,
    ) {
        let Some(earlier) = self.last.get(&reading.instance) else {
            self.last.insert(reading.instance.clone(), reading);
            return;
        };
        let (added, restarted) = reading.since(earlier);
        if restarted {
            interval.restarted.insert(reading.instance.clone());
        }
        let current = self.newest.as_ref().map(|newest| &newest.objectives);
        for (traffic, counts) in added {
            let now = current.and_then(|objectives| objectives.get(&traffic.service));
            // A service that the newest preset dropped was promised until then.
            let Some(objective) = now.or_else(|| former.get(&traffic.service)) else {
                interval.without_objective.insert(traffic.service);
                continue;
            };
            let key = TallyKey {
                data_centre: reading.data_centre.clone(),
                kind: traffic.kind,
            };
            let tallies = interval.tallies.entry(traffic.service).or_default();
            *tallies.entry(key).or_default() += BurnTally::from_counts(&counts, objective);
        }
        self.last.insert(reading.instance.clone(), reading);
    }
}

fn key(node: &MissingNode) -> String {
    match (&node.instance, node.admin_addr) {
        (Some(instance), _) => instance.clone(),
        (None, Some(addr)) => addr.to_string(),
        (None, None) => String::new(),
    }
}

fn changed_objectives(former: &Objectives, current: &Objectives) -> BTreeSet<String> {
    let differs = |name| {
        let before = former.get(name);
        before.is_some() && before != current.get(name)
    };
    current
        .keys()
        .chain(former.keys())
        .filter(|name| differs(*name))
        .cloned()
        .collect()
}
