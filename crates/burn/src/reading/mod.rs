//! Parser of a node's metrics page.

mod latency_bucket;
mod metric_line;
mod node_reading;
mod traffic_counts;
mod traffic_key;

pub use latency_bucket::LatencyBucket;
pub use metric_line::{MetricLine, MetricLineError};
pub use node_reading::{NodeReading, ReadingError};
pub use traffic_counts::TrafficCounts;
pub use traffic_key::TrafficKey;
