//! Holding callers' outcomes against the backend servers' journals.

use std::collections::{BTreeMap, BTreeSet};

use geranium_model::Outcome;
use serde::{Deserialize, Serialize};

use crate::{RunLine, TryRecord};

/// Promises about runs that were broken.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JournalFindings {
    /// Tickets whose request ran more than once, anywhere.
    pub duplicate_runs: Vec<String>,
    /// Request ids of tries that were refused as not run and ran.
    pub ran_after_not_run: Vec<String>,
    /// Request ids of tries that were answered as a success and never ran,
    /// leaving out replays of a ticket that ran.
    pub answered_without_run: Vec<String>,
}

/// Compares what callers were told with what ran.
///
/// `runs` holds the journals of all backend servers, each server's once.
///
/// # Examples
///
/// ```
/// use geranium_load::check_journals;
///
/// assert!(check_journals(&[], &[]).duplicate_runs.is_empty());
/// ```
pub fn check_journals(tries: &[TryRecord], runs: &[RunLine]) -> JournalFindings {
    let ran = || runs.iter().filter(|run| run.ran());
    let ran_ids: BTreeSet<&str> = ran().map(|run| run.request_id.as_str()).collect();
    let mut runs_by_ticket: BTreeMap<&str, u32> = BTreeMap::new();
    for ticket in ran().filter_map(|run| run.ticket.as_deref()) {
        *runs_by_ticket.entry(ticket).or_default() += 1;
    }
    let duplicate = |(ticket, count): (&&str, &u32)| (*count > 1).then(|| (*ticket).to_owned());
    let told_not_run = |record: &&TryRecord| {
        record.outcome == Some(Outcome::NotRun) && ran_ids.contains(record.request_id.as_str())
    };
    let without_run = |record: &&TryRecord| {
        let ticket = record.ticket.as_deref();
        let ticket_ran = ticket.is_some_and(|ticket| runs_by_ticket.contains_key(ticket));
        record
            .status
            .is_some_and(|status| (200..300).contains(&status))
            && !ran_ids.contains(record.request_id.as_str())
            && !ticket_ran
    };
    let ids = |record: &TryRecord| record.request_id.clone();
    JournalFindings {
        duplicate_runs: runs_by_ticket.iter().filter_map(duplicate).collect(),
        ran_after_not_run: tries.iter().filter(told_not_run).map(ids).collect(),
        answered_without_run: tries.iter().filter(without_run).map(ids).collect(),
    }
}

impl JournalFindings {
    /// Reports whether every promise held.
    pub fn hold(&self) -> bool {
        *self == Self::default()
    }
}
