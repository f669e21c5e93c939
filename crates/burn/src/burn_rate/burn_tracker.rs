//! Conversion of cumulative samples into intervals, with a record of missing counts.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{ALERT_RULES, BurnInterval, BurnTally, IntervalHistory, TallyKey};
use crate::{FleetSample, MissingNode, NodeReading, Objectives};

/// Reason recorded for an instance that left the fleet.
///
/// The instance was read before; the newest sample neither contains it nor lists it
/// as missing.
const LEFT_FLEET_REASON: &str = "left the fleet; its counts since its last sample are lost";

/// State from which reports are built: intervals, last readings and missing nodes.
///
/// The first reading of a node only serves as a baseline, since its counts may
/// precede the budget window. A node that couldn't be read for a while has lost
/// no counts unless it restarted: its next reading includes them, and they are
/// added to the interval that ends with that reading.
#[derive(Debug)]
pub struct BurnTracker {
    history: IntervalHistory,
    last_readings: BTreeMap<String, NodeReading>,
    /// Nodes whose counts are lost or unread, by instance or else by admin address.
    ///
    /// The number is the time of the sample in which this was found, in
    /// milliseconds since the Unix epoch.
    missing_nodes: BTreeMap<String, (u64, MissingNode)>,
    newest: Option<NewestSample>,
}

/// Fields of the newest sample that reports need.
#[derive(Debug)]
struct NewestSample {
    at_ms: u64,
    version: u64,
    objectives: Objectives,
    nodes_read: usize,
}

impl BurnTracker {
    /// Creates an empty tracker for a budget window of this length.
    pub const fn new(budget_window: Duration) -> Self {
        Self {
            history: IntervalHistory::new(budget_window),
            last_readings: BTreeMap::new(),
            missing_nodes: BTreeMap::new(),
            newest: None,
        }
    }

    /// Adds the next sample and the interval that ends with it.
    ///
    /// The first sample ends no interval.
    pub fn add(&mut self, sample: FleetSample) {
        let before = self.newest.take();
        let start_ms = before.as_ref().map(|newest| newest.at_ms);
        let previous_objectives = before.map(|newest| newest.objectives).unwrap_or_default();
        let mut interval = BurnInterval {
            // The machine's clock may have been set back between two runs, but an interval
            // must not end before it starts.
            start_ms: start_ms.unwrap_or(sample.at_ms).min(sample.at_ms),
            end_ms: sample.at_ms,
            changed_objectives: changed_objectives(&previous_objectives, &sample.objectives),
            ..BurnInterval::default()
        };
        self.drop_expired_missing_nodes(sample.at_ms);
        self.record_missing_nodes(&sample);
        self.newest = Some(NewestSample {
            at_ms: sample.at_ms,
            version: sample.version,
            nodes_read: sample.nodes.len(),
            objectives: sample.objectives,
        });
        for reading in sample.nodes {
            self.add_reading(&mut interval, reading, &previous_objectives);
        }
        if start_ms.is_some() {
            self.history.push(interval);
        }
    }

    /// Returns the intervals of the budget window.
    pub const fn history(&self) -> &IntervalHistory {
        &self.history
    }

    /// Returns the time of the newest sample, or 0 before the first.
    ///
    /// The time is in milliseconds since the Unix epoch.
    pub fn at_ms(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.at_ms)
    }

    /// Returns the configuration version of the newest sample, or 0 before the first.
    pub fn version(&self) -> u64 {
        let newest = self.newest.as_ref();
        newest.map_or(0, |newest| newest.version)
    }

    /// Returns the objectives of the newest sample, or `None` before the first.
    pub fn objectives(&self) -> Option<&Objectives> {
        self.newest.as_ref().map(|newest| &newest.objectives)
    }

    /// Returns the number of nodes in the newest sample, or 0 before the first.
    pub fn nodes_read(&self) -> usize {
        self.newest.as_ref().map_or(0, |newest| newest.nodes_read)
    }

    /// Returns the nodes with recently missing counts and the number of other ones.
    ///
    /// Counts are recently missing if this was found within the slow window of the
    /// first rule, or within the newest interval if that is longer. Nodes with
    /// older cases in the budget window are only counted: instances fail daily, so
    /// reports would always be partial.
    pub fn missing_nodes(&self) -> (Vec<&MissingNode>, usize) {
        let window = self.history.budget_window();
        let newest = self.history.within(Duration::ZERO).last();
        let span_ms = newest.map_or(0, |interval| interval.end_ms - interval.start_ms);
        let recent_ms = span_ms.max(ALERT_RULES[0].slow_window(window).as_millis() as u64);
        let age_ms = |at_ms: u64| self.at_ms().saturating_sub(at_ms);
        let (recent, older): (Vec<_>, Vec<_>) = self
            .missing_nodes
            .values()
            .filter(|(at_ms, _)| u128::from(age_ms(*at_ms)) <= window.as_millis())
            .partition(|(at_ms, _)| age_ms(*at_ms) <= recent_ms);
        let recent = recent.into_iter().map(|(_, node)| node).collect();
        (recent, older.len())
    }

    /// Drops missing nodes older than the budget window, with their last readings.
    fn drop_expired_missing_nodes(&mut self, now_ms: u64) {
        let window = self.history.budget_window();
        let last_readings = &mut self.last_readings;
        self.missing_nodes.retain(|_, (at_ms, node)| {
            let is_expired = u128::from(now_ms.saturating_sub(*at_ms)) > window.as_millis();
            if let Some(instance) = node.instance.as_ref().filter(|_| is_expired) {
                last_readings.remove(instance);
            }
            !is_expired
        });
    }

    /// Records nodes that the sample lists as missing or that left the fleet.
    ///
    /// Nodes whose instance the sample read are dropped again.
    fn record_missing_nodes(&mut self, sample: &FleetSample) {
        let read_instances: BTreeSet<_> = sample.nodes.iter().map(|node| &node.instance).collect();
        let unread_instances: BTreeSet<_> = sample
            .missing
            .iter()
            .filter_map(|node| node.instance.as_ref())
            .collect();
        for node in &sample.missing {
            self.missing_nodes
                .insert(missing_node_key(node), (sample.at_ms, node.clone()));
        }
        for instance in self.last_readings.keys() {
            if read_instances.contains(instance) {
                self.missing_nodes.remove(instance.as_str());
            } else if !unread_instances.contains(instance) {
                let node = MissingNode {
                    instance: Some(instance.clone()),
                    admin_addr: None,
                    reason: LEFT_FLEET_REASON.to_owned(),
                };
                let known = self.missing_nodes.get(instance.as_str());
                if known.is_none_or(|(_, known)| known.reason != LEFT_FLEET_REASON) {
                    self.missing_nodes
                        .insert(missing_node_key(&node), (sample.at_ms, node));
                }
            }
        }
    }

    /// Adds the responses since the node's last reading to the interval.
    ///
    /// `previous_objectives` holds the objectives of the sample before.
    fn add_reading(
        &mut self,
        interval: &mut BurnInterval,
        reading: NodeReading,
        previous_objectives: &Objectives,
    ) {
        let Some(earlier) = self.last_readings.get(&reading.instance) else {
            self.last_readings.insert(reading.instance.clone(), reading);
            return;
        };
        let (added, restarted) = reading.since(earlier);
        if restarted {
            interval.restarted.insert(reading.instance.clone());
        }
        let current_objectives = self.newest.as_ref().map(|newest| &newest.objectives);
        for (traffic, counts) in added {
            let current_objective =
                current_objectives.and_then(|objectives| objectives.get(&traffic.service));
            // The objective of a service that is no longer listed applied until
            // this sample.
            let Some(objective) =
                current_objective.or_else(|| previous_objectives.get(&traffic.service))
            else {
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
        self.last_readings.insert(reading.instance.clone(), reading);
    }
}

fn missing_node_key(node: &MissingNode) -> String {
    match (&node.instance, node.admin_addr) {
        (Some(instance), _) => instance.clone(),
        (None, Some(addr)) => addr.to_string(),
        (None, None) => String::new(),
    }
}

/// Returns the services whose previous objective differs from the current one.
///
/// The objective of a service that is no longer listed counts as different.
fn changed_objectives(
    previous_objectives: &Objectives,
    current_objectives: &Objectives,
) -> BTreeSet<String> {
    let differs = |name| {
        let before = previous_objectives.get(name);
        before.is_some() && before != current_objectives.get(name)
    };
    current_objectives
        .keys()
        .chain(previous_objectives.keys())
        .filter(|name| differs(*name))
        .cloned()
        .collect()
}
