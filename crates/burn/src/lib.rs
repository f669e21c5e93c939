//! Error budgets of services and their burn, from the nodes' metrics.
//!
//! Nodes store no history and count from their own start, so this program takes
//! samples. A [`NodeReading`] holds the checked counters of one node's metrics
//! page. A [`FleetSampler`] reads all nodes into a [`FleetSample`], and a
//! [`SampleFile`] stores samples between runs. The [`BurnTracker`] turns them
//! into intervals, taking restarts and missing nodes into account, and a
//! [`BurnReport`] evaluates the intervals by the objectives and [`ALERT_RULES`].
//!
//! Missing counts are never estimated. A report with recently missing counts lists
//! their nodes and has its own result code and [`exit_status`]. Nodes whose counts
//! went missing earlier are only counted, and restarted nodes only listed.

mod burn_error;
mod burn_rate;
mod burn_run;
mod exit_status;
mod invocation;
mod json_text;
mod output_format;
mod reading;
mod report;
mod sampling;

pub use burn_error::BurnError;
pub use burn_rate::{
    ALERT_RULES, AlertRule, BudgetTally, BurnInterval, BurnTally, BurnTracker, IntervalHistory,
    ServiceTallies, TallyKey, Urgency,
};
pub use burn_run::BurnRun;
pub use exit_status::exit_status;
pub use invocation::{Command, Invocation};
pub use output_format::OutputFormat;
pub use reading::{
    LatencyBucket, MetricLine, MetricLineError, NodeReading, ReadingError, TrafficCounts,
    TrafficKey,
};
pub use report::{
    BreakdownRow, BurnReport, IndicatorBurn, RuleBurn, ServiceBurn, WindowLength,
    WindowLengthError, burn_picture,
};
pub use sampling::{
    AdminClient, FleetSample, FleetSampler, MissingNode, ObjectiveSource, Objectives, SampleFile,
    ServiceObjective,
};
