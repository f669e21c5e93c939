//! One soak from start to end.

use std::{
    fs,
    path::Path,
    sync::{Arc, PoisonError},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use geranium_load::{JournalFindings, LoadPlan, TryRecord, check_journals, run_load};
use snafu::ResultExt;

use super::{
    Breach, FailurePlan, SoakLine, SoakOptions,
    failure_actor::FailureActor,
    final_check::{SETTLE_LIMIT, requests_succeed, wait_whole},
    load_check::{bad_answers, graceful_ends, versions_fell, work_after_leaving},
    past_client::{open_store, read_in_force},
    soak_fleet::{activate_last, soak_layout, start_fleet},
    version_watch::VersionWatch,
};
use crate::{FleetRun, RigError, rig_error::FileSnafu};

/// Requests a second of the mixed load.
const RATE: f64 = 150.0;
/// Requests under way at most: with nodes frozen, callers wait for seconds.
const WORKERS: usize = 192;
/// Runs that a node starts after its caller has its answer show by then.
const JOURNAL_WAIT: Duration = Duration::from_secs(2);

/// Runs a soak, prints its schedule and its line of JSON, and reports whether
/// every promise held.
///
/// # Errors
///
/// Returns an error if the fleet can't be started or a file can't be written.
/// Everything started is ended in any case.
///
/// # Panics
///
/// If a thread of the load tool panics, which is a bug.
///
/// # Examples
///
/// ```no_run
/// use geranium_rig::soak::{SoakOptions, run_soak};
///
/// assert!(run_soak(&SoakOptions { seed: 1, seconds: 60, out: None })?);
/// # Ok::<(), geranium_rig::RigError>(())
/// ```
pub fn run_soak(options: &SoakOptions) -> Result<bool, RigError> {
    let plan = FailurePlan::draw(
        options.seed,
        options.seconds,
        soak_layout().instances().len(),
    );
    for failure in &plan.failures {
        println!("{failure}");
    }
    if let Some(out) = &options.out {
        fs::create_dir_all(out).context(FileSnafu { path: out })?;
        let text = serde_json::to_string_pretty(&plan).expect("a plan is plain data");
        write(out, &format!("schedule-{}.json", plan.seed), &text)?;
    }
    let (fleet, line, tries) = carry_out(options, &plan)?;
    let text = serde_json::to_string(&line).expect("a result is plain data");
    if let Some(out) = &options.out {
        write(out, &format!("result-{}.json", plan.seed), &text)?;
        if !line.breaches.is_empty() {
            let kept = out.join(format!("seed-{}", plan.seed));
            keep_files(&fleet, &kept)?;
            write(&kept, "tries.jsonl", &lines(&tries))?;
        }
    }
    println!("{text}");
    Ok(line.breaches.is_empty())
}

fn carry_out(
    options: &SoakOptions,
    plan: &FailurePlan,
) -> Result<(FleetRun, SoakLine, Vec<TryRecord>), RigError> {
    let (mut fleet, mix) = start_fleet()?;
    let mut load_plan = LoadPlan::new(fleet.callers(), mix.clone());
    load_plan.rate = RATE;
    load_plan.workers = WORKERS;
    load_plan.duration = Duration::from_secs(options.seconds);
    load_plan.seed = options.seed;

    let store = Arc::new(open_store(fleet.platform_address));
    let admins = fleet
        .pairs
        .iter()
        .map(|pair| (pair.instance.clone(), pair.addresses.admin));
    let (admins, epoch_ms) = (admins.collect(), wall_clock_ms());
    let started = Instant::now();
    let watch = VersionWatch::start(admins, started);
    let load = thread::spawn(move || run_load(&load_plan));

    let mut actor = FailureActor::new(&mut fleet, plan, started, Arc::clone(&store));
    actor.carry_out()?;
    let torn = actor.torn_loads();
    let failures = std::mem::take(&mut actor.done);
    activate_last(&fleet, SETTLE_LIMIT)?;
    let newest = read_in_force(&store).map_or(0, |(record, _)| record.version.get());
    let whole = wait_whole(&fleet, newest);
    let outcome = load.join().expect("the load tool must not panic")?;
    let (mut breaches, after) = requests_succeed(&fleet, &mix)?;
    thread::sleep(JOURNAL_WAIT);

    let main_tries = &outcome.tries;
    let mut tries = main_tries.clone();
    tries.extend(after.into_iter().flat_map(|outcome| outcome.tries));
    tries.extend(torn.into_iter().flat_map(|(_, outcome)| outcome.tries));
    breaches.extend(bad_answers(&tries));
    breaches.extend(journal_breaches(
        &check_journals(&tries, &fleet.journals()?),
        &tries,
    ));
    let bad_tries = breaches.len();
    breaches.extend(versions_fell(&fleet, main_tries, &failures));
    let graceful = graceful_ends(&fleet, main_tries, &failures);
    breaches.extend(graceful.breaches);
    breaches.extend(work_after_leaving(&fleet, &failures, epoch_ms));
    let whole_after_ms = whole.as_ref().ok().map(|time| time.as_millis() as u64);
    breaches.extend(whole.err().unwrap_or_default());
    let sightings = watch
        .sightings
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    breaches.extend_from_slice(sightings.breaches());
    let line = SoakLine {
        seed: plan.seed,
        seconds: options.seconds,
        failures: failures.len(),
        requests: outcome.report.total.requests,
        good: outcome.report.total.good,
        bad_tries,
        judged_at_graceful_ends: graceful.judged,
        version_everywhere: sightings.everywhere(),
        whole_after_ms,
        breaches,
    };
    drop(sightings);
    println!("{}", outcome.report);
    Ok((fleet, line, tries))
}

fn journal_breaches(findings: &JournalFindings, tries: &[TryRecord]) -> Vec<Breach> {
    let lists = [
        (&findings.duplicate_runs, "ran more than once"),
        (&findings.ran_after_not_run, "refused as not run, and ran"),
        (&findings.answered_without_run, "answered, and never ran"),
    ];
    let breaches = lists.into_iter().flat_map(|(ids, what)| {
        ids.iter().map(move |id| {
            let own = |record: &&TryRecord| {
                record.request_id == *id || record.ticket.as_deref() == Some(id)
            };
            let told: Vec<String> = tries.iter().filter(own).map(told).collect();
            Breach {
                at_ms: tries
                    .iter()
                    .find(own)
                    .map_or(0, |record| record.sent_us / 1_000),
                process: id.clone(),
                what: format!("{what}: {}", told.join("; ")),
            }
        })
    });
    breaches.collect()
}

fn told(record: &TryRecord) -> String {
    format!(
        "{} through {} at {} ms for {} ms: {} status {:?} code {:?}",
        record.request_id,
        record.node,
        record.sent_us / 1_000,
        record.latency_us / 1_000,
        record.verdict,
        record.status,
        record.code
    )
}

fn lines(tries: &[TryRecord]) -> String {
    let line = |record| serde_json::to_string(record).expect("a record is plain data") + "\n";
    tries.iter().map(line).collect()
}

fn write(out: &Path, name: &str, text: &str) -> Result<(), RigError> {
    let path = out.join(name);
    fs::write(&path, text).context(FileSnafu { path })
}

/// Copies logs and journals, which are removed with the fleet otherwise.
fn keep_files(fleet: &FleetRun, to: &Path) -> Result<(), RigError> {
    fs::create_dir_all(to).context(FileSnafu { path: to })?;
    let entries = fs::read_dir(fleet.work_dir()).context(FileSnafu { path: to })?;
    for entry in entries.filter_map(Result::ok) {
        fs::copy(entry.path(), to.join(entry.file_name())).context(FileSnafu { path: to })?;
    }
    Ok(())
}

fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
