//! Response counts from one node's metrics page.

use std::collections::BTreeMap;

use geranium_node::node_metrics::RequestResult;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

use super::{LatencyBucket, MetricLine, MetricLineError, TrafficCounts, TrafficKey};

const INFO: &str = "geranium_node_info";
const VERSION: &str = "geranium_config_version";
const STARTED: &str = "geranium_node_started";
const REQUESTS: &str = "geranium_requests_total";
const LATENCY_BUCKET: &str = "geranium_request_seconds_bucket";
const LATENCY_COUNT: &str = "geranium_request_seconds_count";
/// Service label of requests that the node rejected before it picked a service.
///
/// Their responses count for no service's budget.
const NO_SERVICE: &str = "";

/// Response counts of one node from its start to the time of the reading.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeReading {
    /// Instance on which the node runs.
    pub instance: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Start time of the process, in milliseconds since the Unix epoch.
    ///
    /// Counts of two processes with different start times can't be compared.
    pub started: u64,
    /// Version of the configuration in force at the node, or 0 without one.
    pub version: u64,
    /// Response counts by service and request kind.
    #[serde(with = "traffic_rows")]
    pub traffic: BTreeMap<TrafficKey, TrafficCounts>,
}

/// Reason why a metrics page is rejected as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ReadingError {
    /// A line is malformed.
    #[snafu(transparent)]
    Line {
        /// Error of the line's parser.
        source: MetricLineError,
    },
    /// A metric that every node exports is absent.
    #[snafu(display("the metrics page has no `{name}`"))]
    Missing {
        /// Name of the metric.
        name: &'static str,
    },
}

impl NodeReading {
    /// Returns the counts added since `earlier`, and whether the node restarted.
    ///
    /// Counters of a restarted node begin at zero, so the difference would be
    /// negative, or too small by the counts of the old process. A restart is
    /// detected by a changed start time, or by any counter that decreased in
    /// case two processes started in the same millisecond. All counts are then
    /// new.
    pub fn since(&self, earlier: &Self) -> (BTreeMap<TrafficKey, TrafficCounts>, bool) {
        let same_process = self.started == earlier.started;
        match self.added_since(earlier).filter(|_| same_process) {
            Some(added) => (added, false),
            None => (self.traffic.clone(), true),
        }
    }

    /// Returns the counts added since `earlier`, or `None` if any decreased or is gone.
    fn added_since(&self, earlier: &Self) -> Option<BTreeMap<TrafficKey, TrafficCounts>> {
        let has_all = |key| self.traffic.contains_key(key);
        if !earlier.traffic.keys().all(has_all) {
            return None;
        }
        let none = TrafficCounts::default();
        let rows = self.traffic.iter();
        rows.map(|(key, counts)| {
            let previous = earlier.traffic.get(key).unwrap_or(&none);
            Some((key.clone(), counts.since(previous)?))
        })
        .collect()
    }
}

impl TryFrom<&str> for NodeReading {
    type Error = ReadingError;

    fn try_from(page: &str) -> Result<Self, ReadingError> {
        let mut info = None;
        let mut started = None;
        let mut version = 0;
        let mut traffic = BTreeMap::new();
        let lines = page.lines().map(str::trim);
        for text in lines.filter(|line| !line.is_empty() && !line.starts_with('#')) {
            let line = MetricLine::try_from(text)?;
            if line.has_label("service", NO_SERVICE) {
                continue;
            }
            match line.name() {
                INFO => info = Some((line.label("instance")?, line.label("data_centre")?)),
                VERSION => version = line.count()?,
                STARTED => started = Some(line.count()?),
                REQUESTS => add_responses(counts_of(&mut traffic, &line)?, &line)?,
                LATENCY_COUNT => counts_of(&mut traffic, &line)?.timed = line.count()?,
                LATENCY_BUCKET => add_bucket(counts_of(&mut traffic, &line)?, &line)?,
                _ => {}
            }
        }
        let (instance, data_centre) = info.context(MissingSnafu { name: INFO })?;
        Ok(Self {
            instance,
            data_centre,
            started: started.context(MissingSnafu { name: STARTED })?,
            version,
            traffic,
        })
    }
}

/// Returns the counts for the line's service and request kind.
fn counts_of<'a>(
    traffic: &'a mut BTreeMap<TrafficKey, TrafficCounts>,
    line: &MetricLine,
) -> Result<&'a mut TrafficCounts, MetricLineError> {
    let key = TrafficKey {
        service: line.label("service")?,
        kind: line.label("kind")?,
    };
    Ok(traffic.entry(key).or_default())
}

/// Adds the value of a line of [`REQUESTS`].
fn add_responses(counts: &mut TrafficCounts, line: &MetricLine) -> Result<(), MetricLineError> {
    let result: RequestResult = line.label("result")?;
    let count = line.count()?;
    match result {
        RequestResult::Good | RequestResult::Slow => counts.good += count,
        RequestResult::Failed => counts.bad += count,
        RequestResult::CallerFault => counts.caller_faults += count,
    }
    Ok(())
}

/// Adds the bucket of a line of [`LATENCY_BUCKET`], unless its bound is infinite.
fn add_bucket(counts: &mut TrafficCounts, line: &MetricLine) -> Result<(), MetricLineError> {
    let bound_s: f64 = line.label("le")?;
    if bound_s.is_finite() {
        let count = line.count()?;
        let index = counts
            .buckets
            .partition_point(|bucket| bucket.bound_s < bound_s);
        counts
            .buckets
            .insert(index, LatencyBucket { bound_s, count });
    }
    Ok(())
}

/// Serializes the map as a list of pairs, since JSON keys must be strings.
mod traffic_rows {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::{TrafficCounts, TrafficKey};

    type Traffic = BTreeMap<TrafficKey, TrafficCounts>;

    pub(super) fn serialize<S: Serializer>(
        traffic: &Traffic,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        traffic.iter().collect::<Vec<_>>().serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Traffic, D::Error> {
        let rows = Vec::<(TrafficKey, TrafficCounts)>::deserialize(deserializer)?;
        Ok(rows.into_iter().collect())
    }
}
