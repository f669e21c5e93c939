//! Result of the demo.

use std::{fmt, time::Duration};

use geranium_load::{JournalFindings, LoadReport, PairReport};

use super::DemoLine;

/// A configuration accepted must be in force everywhere within this time.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(9);

/// Result for one user's deployment.
#[derive(Debug, Clone)]
pub struct DeploymentReport {
    /// Name of the user.
    pub name: String,
    /// What callers received.
    pub load: LoadReport,
    /// What the journals say of it.
    pub findings: JournalFindings,
    /// Time until each activation was in force everywhere; `None` when it
    /// never was.
    pub convergence: Vec<Option<Duration>>,
    /// Time from the return of killed nodes until they followed the newest
    /// version.
    pub return_convergence: Option<Duration>,
    /// Sightings of an older version at any node, by polling and in answers.
    pub older_versions: u64,
    /// What a node added to kept-alive calls during the load.
    pub added: PairReport,
}

impl DeploymentReport {
    /// Longest time to convergence, or `None` if one was never reached.
    fn convergence_max(&self) -> Option<Duration> {
        let all: Option<Vec<_>> = self.convergence.iter().copied().collect();
        all?.into_iter().max()
    }

    fn held(&self) -> bool {
        let in_time = self
            .convergence_max()
            .is_some_and(|longest| longest <= CONVERGENCE_LIMIT);
        let returned = self.return_convergence.is_some();
        let answers = self.load.total.wrong_answers + self.load.total.short_answers;
        in_time && returned && answers == 0 && self.older_versions == 0 && self.findings.hold()
    }
}

/// Result of the whole demo.
#[derive(Debug, Clone)]
pub struct DemoReport {
    /// Result for each deployment.
    pub deployments: Vec<DeploymentReport>,
}

impl DemoReport {
    /// Reports whether every promise held.
    pub fn held(&self) -> bool {
        self.deployments.iter().all(DeploymentReport::held)
    }

    /// Returns the summary.
    pub fn line(&self) -> DemoLine {
        let sum = |count: fn(&DeploymentReport) -> u64| -> u64 {
            self.deployments.iter().map(count).sum()
        };
        let longest = self
            .deployments
            .iter()
            .map(DeploymentReport::convergence_max);
        let longest: Option<Vec<_>> = longest.collect();
        let longest = longest.and_then(|longest| longest.into_iter().max());
        let added = |pick: fn(&PairReport) -> f64| {
            let all = self.deployments.iter().map(|report| pick(&report.added));
            all.fold(0.0, f64::max)
        };
        DemoLine {
            requests: sum(|report| report.load.total.requests),
            wrong_answers: sum(|report| report.load.total.wrong_answers),
            short_answers: sum(|report| report.load.total.short_answers),
            duplicate_runs: sum(|report| report.findings.duplicate_runs.len() as u64),
            ran_after_not_run: sum(|report| report.findings.ran_after_not_run.len() as u64),
            failed: sum(|report| report.load.total.failed()),
            convergence_ms_max: longest.map(|longest| longest.as_millis() as u64),
            older_version_seen: sum(|report| report.older_versions),
            added_ms_p50: added(|pair| pair.added.p50_ms),
            added_ms_p99: added(|pair| pair.added.p99_ms),
        }
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for report in &self.deployments {
            writeln!(f, "== {} ==\n{}", report.name, report.load)?;
            writeln!(
                f,
                "duplicate runs            {}",
                report.findings.duplicate_runs.len()
            )?;
            writeln!(
                f,
                "ran after not-run         {}",
                report.findings.ran_after_not_run.len()
            )?;
            let unexplained = report.findings.answered_without_run.len();
            writeln!(f, "answered without a run    {unexplained}")?;
            writeln!(f, "older versions seen       {}", report.older_versions)?;
            for (number, time) in report.convergence.iter().enumerate() {
                writeln!(f, "activation {} everywhere   {}", number + 2, text(*time))?;
            }
            writeln!(
                f,
                "returned nodes followed   {}",
                text(report.return_convergence)
            )?;
            writeln!(f, "kept-alive calls during the load\n{}\n", report.added)?;
        }
        write!(
            f,
            "{}",
            if self.held() {
                "every promise held"
            } else {
                "a promise broke"
            }
        )
    }
}

fn text(time: Option<Duration>) -> String {
    time.map_or("never".to_owned(), |time| {
        format!("{} ms", time.as_millis())
    })
}
