//! Figures of one fleet size.

use serde::{Deserialize, Serialize};

/// What one size cost.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ScalePoint {
    /// Nodes.
    pub nodes: usize,
    /// Milliseconds from the start of the first node until each knew all.
    pub joined_ms: u64,
    /// Control bytes sent per node and second, idle.
    pub idle_bytes_per_s: f64,
    /// Most control bytes that one node sent per second, idle.
    pub idle_bytes_per_s_max: f64,
    /// Control messages sent per node and second, idle.
    pub idle_messages_per_s: f64,
    /// Share of one core that a node used, idle, in percent.
    pub idle_cpu_percent: f64,
    /// Most that one node used, in percent.
    pub idle_cpu_percent_max: f64,
    /// Platform calls per second of the whole fleet, idle, with waiting
    /// watches counted once when they begin.
    pub idle_platform_calls_per_s: f64,
    /// Watches that wait at the platform.
    pub waiting_watches: u64,
    /// Milliseconds until a change was in force, over nodes and changes.
    pub change_p50_ms: u64,
    /// The same, for 99 of 100.
    pub change_p99_ms: u64,
    /// The same, for the last.
    pub change_max_ms: u64,
    /// Control bytes sent per node for one change.
    pub change_bytes: f64,
    /// Share of a core for one change, in core milliseconds per node.
    pub change_cpu_ms: f64,
    /// Platform calls of the whole fleet for one change.
    pub change_platform_calls: f64,
    /// Milliseconds until a change was in force on all that lived, with a
    /// watcher killed right after the write.
    pub watcher_killed_max_ms: u64,
    /// Milliseconds until a change written at the end of an outage was in
    /// force everywhere.
    pub after_outage_max_ms: u64,
    /// Control bytes sent per node for one restart of some node.
    pub restart_bytes: f64,
    /// Platform calls for one restart.
    pub restart_platform_calls: f64,
    /// Resident memory of a node in mebibytes, mean.
    pub memory_mib: f64,
    /// Resident memory of the largest node in mebibytes.
    pub memory_mib_max: f64,
    /// Threads of a node.
    pub threads: f64,
    /// The naive way, at the same size.
    pub naive: NaivePoint,
}

/// What the naive way cost.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct NaivePoint {
    /// Bytes of documents read per node and second.
    pub bytes_per_s: f64,
    /// Platform calls per second of the whole fleet.
    pub platform_calls_per_s: f64,
    /// Milliseconds until a change was seen, for 99 of 100 nodes.
    pub change_p99_ms: u64,
    /// Milliseconds until the last node saw a change.
    pub change_max_ms: u64,
}
