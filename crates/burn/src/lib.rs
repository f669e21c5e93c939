//! Service-level burn, from the nodes' metrics.
//!
//! Nodes keep nothing and count since their own start, so this program takes
//! samples. A [`NodeReading`] is one node's page of counters in checked form;
//! a [`FleetSampler`] reads all nodes into a [`FleetSample`], and a
//! [`SampleFile`] keeps samples between runs. The [`BurnTracker`] turns them
//! into intervals, minding restarts and missing nodes, and a [`BurnReport`]
//! weighs those against the objectives by [`ALERT_RULES`].
//!
//! What can't be known is said, never guessed: a report that lacks counts of
//! some nodes names them and has its own result code and [`exit_status`].

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
    ALERT_RULES, AlertRule, BurnInterval, BurnTally, BurnTracker, ErrorBudget, IntervalHistory,
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
