//! What one page of metrics says of callers' requests.

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
/// Label of requests that were refused before they had a route.
const NO_SERVICE: &str = "";

/// A node's counts at one moment, since its start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeReading {
    /// Instance beside which the node runs.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Start of the process; counts of two starts have nothing in common.
    pub started: u64,
    /// Version of the configuration that it follows.
    pub version: u64,
    /// Counts by service and kind.
    #[serde(with = "traffic_rows")]
    pub traffic: BTreeMap<TrafficKey, TrafficCounts>,
}

/// A page that can't be used; nothing of it is.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ReadingError {
    /// A line that is needed isn't of the expected form.
    #[snafu(transparent)]
    Line {
        /// What is wrong with it.
        source: MetricLineError,
    },
    /// A metric that every node shows is absent.
    #[snafu(display("the page lacks `{name}`"))]
    Missing {
        /// The metric.
        name: &'static str,
    },
}

impl NodeReading {
    /// Returns what was added since `earlier`, and whether the node restarted.
    ///
    /// Counters of a restarted node begin at zero. Without this guard the
    /// difference would be negative, or too small by all that was counted
    /// before. A restart shows as a changed start, and as any fallen counter
    /// should two starts ever share a millisecond; all counts are then new.
    pub fn since(&self, earlier: &Self) -> (BTreeMap<TrafficKey, TrafficCounts>, bool) {
        let same_process = self.started == earlier.started;
        match self.added(earlier).filter(|_| same_process) {
            Some(added) => (added, false),
            None => (self.traffic.clone(), true),
        }
    }

    fn added(&self, earlier: &Self) -> Option<BTreeMap<TrafficKey, TrafficCounts>> {
        let has_all = |key| self.traffic.contains_key(key);
        if !earlier.traffic.keys().all(has_all) {
            return None;
        }
        let none = TrafficCounts::default();
        let rows = self.traffic.iter();
        rows.map(|(key, counts)| {
            let former = earlier.traffic.get(key).unwrap_or(&none);
            Some((key.clone(), counts.since(former)?))
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
                REQUESTS => add_answers(counts(&mut traffic, &line)?, &line)?,
                LATENCY_COUNT => counts(&mut traffic, &line)?.timed = line.count()?,
                LATENCY_BUCKET => add_bucket(counts(&mut traffic, &line)?, &line)?,
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

fn counts<'a>(
    traffic: &'a mut BTreeMap<TrafficKey, TrafficCounts>,
    line: &MetricLine,
) -> Result<&'a mut TrafficCounts, MetricLineError> {
    let key = TrafficKey {
        service: line.label("service")?,
        kind: line.label("kind")?,
    };
    Ok(traffic.entry(key).or_default())
}

fn add_answers(counts: &mut TrafficCounts, line: &MetricLine) -> Result<(), MetricLineError> {
    let result: RequestResult = line.label("result")?;
    let count = line.count()?;
    match result {
        RequestResult::Good | RequestResult::Slow => counts.good += count,
        RequestResult::Failed => counts.bad += count,
        RequestResult::CallerFault => counts.caller_faults += count,
    }
    Ok(())
}

fn add_bucket(counts: &mut TrafficCounts, line: &MetricLine) -> Result<(), MetricLineError> {
    let bound_s: f64 = line.label("le")?;
    if bound_s.is_finite() {
        let count = line.count()?;
        let place = counts
            .buckets
            .partition_point(|bucket| bucket.bound_s < bound_s);
        counts
            .buckets
            .insert(place, LatencyBucket { bound_s, count });
    }
    Ok(())
}

/// Writes the map as rows, since JSON's keys can only be text.
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
