//! What callers received, summed up.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

use crate::ClassReport;

/// Result of a load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Seconds from the first intended start to the last answer.
    pub seconds: f64,
    /// Requests that started over 5 ms late for want of a worker: when these
    /// are many, the load tool was the bottleneck.
    pub late_starts: u64,
    /// All classes together.
    pub total: ClassReport,
    /// The first caller, which sends the hot share.
    pub first_caller: ClassReport,
    /// All other callers: what a hot one may not take from them.
    pub other_callers: ClassReport,
    /// Each class, by name.
    pub classes: BTreeMap<String, ClassReport>,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<6} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8} {:>6} {:>6} {:>9} {:>9} {:>9}",
            "class",
            "requests",
            "good",
            "good/s",
            "refused",
            "unknown",
            "broken",
            "wrong",
            "short",
            "p50 ms",
            "p99 ms",
            "p99.9 ms"
        )?;
        let named = self
            .classes
            .iter()
            .map(|(name, report)| (name.as_str(), report));
        for (name, report) in named.chain([("all", &self.total)]) {
            let broken = report.broken + report.unreachable + report.without_ticket;
            writeln!(
                f,
                "{name:<6} {:>9} {:>9} {:>9.1} {:>8} {:>8} {broken:>8} {:>6} {:>6} {:>9.2} {:>9.2} {:>9.2}",
                report.requests,
                report.good,
                report.goodput,
                report.refused,
                report.unknown,
                report.wrong_answers,
                report.short_answers,
                report.p50_ms,
                report.p99_ms,
                report.p999_ms
            )?;
        }
        for (code, count) in &self.total.codes {
            writeln!(f, "code {code}: {count}")?;
        }
        write!(f, "{:.1} s, {} late starts", self.seconds, self.late_starts)
    }
}
