//! Carrying out a load.

use std::{
    collections::BTreeMap,
    iter::repeat_n,
    panic::resume_unwind,
    thread::{self, ScopedJoinHandle},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use snafu::ResultExt;

use crate::{
    LoadError, LoadPlan, LoadReport, TryRecord,
    load_error::NoWorkerSnafu,
    load_worker::{EndedRequest, LoadWorker},
    request_tally::RequestTally,
    target_group::TargetGroup,
};

/// A start this much after the intended one counts as late.
const LATE_START: Duration = Duration::from_millis(5);

/// A worker's calls nest little; hundreds of workers are usual.
const STACK_BYTES: usize = 256 * 1_024;

/// What came of a load.
#[derive(Debug)]
pub struct LoadOutcome {
    /// The summary.
    pub report: LoadReport,
    /// Every try, for the check against journals.
    pub tries: Vec<TryRecord>,
}

/// Sends a load and waits for its last answer.
///
/// # Errors
///
/// Returns an error if the plan can't be carried out; requests that fail are
/// counted and aren't errors.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_load::{LoadPlan, run_load};
///
/// // Nothing listens on port 1: every request is counted as unreachable.
/// let mix = vec!["short:1:/a".parse()?];
/// let mut plan = LoadPlan::new(vec![([127, 0, 0, 1], 1).into()], mix);
/// plan.duration = Duration::from_millis(100);
/// let outcome = run_load(&plan)?;
/// assert_eq!(outcome.report.total.unreachable, outcome.report.total.requests);
/// # Ok::<(), geranium_load::LoadError>(())
/// ```
pub fn run_load(plan: &LoadPlan) -> Result<LoadOutcome, LoadError> {
    plan.check()?;
    let run_name = &run_name();
    let started = Instant::now();
    let groups: Vec<_> = (0..plan.targets.len())
        .map(|target| TargetGroup::new(plan, target, started))
        .collect();
    let each = plan.workers.div_ceil(plan.targets.len());
    let ended: Vec<EndedRequest> = thread::scope(|scope| {
        let workers = groups
            .iter()
            .flat_map(|group| repeat_n(group, each))
            .map(|group| {
                let work = move || LoadWorker::new(plan, run_name, group).run();
                let builder = thread::Builder::new().stack_size(STACK_BYTES);
                builder.spawn_scoped(scope, work)
            });
        let workers = workers
            .collect::<Result<Vec<_>, _>>()
            .context(NoWorkerSnafu)?;
        let join = |worker: ScopedJoinHandle<'_, _>| {
            worker.join().unwrap_or_else(|panic| resume_unwind(panic))
        };
        Ok(workers.into_iter().flat_map(join).collect())
    })?;
    Ok(sum_up(ended, started.elapsed()))
}

/// Name of this load, so that request ids of several loads differ.
fn run_name() -> String {
    let epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("{:x}-{}", epoch.as_micros(), std::process::id())
}

fn sum_up(ended: Vec<EndedRequest>, elapsed: Duration) -> LoadOutcome {
    let seconds = elapsed.as_secs_f64();
    let mut total = RequestTally::new();
    let (mut first_caller, mut other_callers) = (RequestTally::new(), RequestTally::new());
    let mut classes: BTreeMap<String, RequestTally> = BTreeMap::new();
    let mut late_starts = 0;
    let mut tries = Vec::new();
    for (result, records) in ended {
        total.add(&result);
        let caller = if result.hot {
            &mut first_caller
        } else {
            &mut other_callers
        };
        caller.add(&result);
        let class = classes.entry(result.class.to_string());
        class.or_insert_with(RequestTally::new).add(&result);
        late_starts += u64::from(result.late_by > LATE_START);
        tries.extend(records);
    }
    let classes = classes
        .into_iter()
        .map(|(name, tally)| (name, tally.report(seconds)));
    let report = LoadReport {
        seconds,
        late_starts,
        total: total.report(seconds),
        first_caller: first_caller.report(seconds),
        other_callers: other_callers.report(seconds),
        classes: classes.collect(),
    };
    LoadOutcome { report, tries }
}
