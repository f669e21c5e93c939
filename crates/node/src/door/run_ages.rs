//! How long the runs have lasted that are under way.

use std::time::Duration;

use slab::Slab;

/// A run that is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunKey(u32);

#[derive(Debug, Clone, Copy)]
struct OpenRun {
    class: u64,
    began: Duration,
}

/// How long the runs have lasted that are under way.
///
/// A backend server that turns many times slower completes nothing within its callers'
/// deadlines, so mean times of completed runs still show it as it was. The age of its
/// runs shows it within a run or two.
#[derive(Debug, Default)]
pub struct RunAges {
    runs: Slab<OpenRun>,
}

impl RunAges {
    /// Notes that a run of `class` begins.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::door::RunAges;
    ///
    /// let mut ages = RunAges::default();
    /// let run = ages.begin(Duration::from_secs(1), 7);
    /// assert_eq!(ages.mean_of(Duration::from_secs(3), 7), Duration::from_secs(2));
    /// ages.end(run);
    /// assert_eq!(ages.mean_of(Duration::from_secs(3), 7), Duration::ZERO);
    /// ```
    pub fn begin(&mut self, now: Duration, class: u64) -> RunKey {
        RunKey(self.runs.insert(OpenRun { class, began: now }) as u32)
    }

    /// Notes that a run is over.
    pub fn end(&mut self, run: RunKey) {
        self.runs.try_remove(run.0 as usize);
    }

    /// Returns the mean age of the runs of one class; zero when there is none.
    pub fn mean_of(&self, now: Duration, class: u64) -> Duration {
        let runs = self.runs.iter().map(|(_, run)| run);
        mean_age(now, runs.filter(|run| run.class == class))
    }

    /// Returns the mean age of all runs; zero when there is none.
    pub fn mean(&self, now: Duration) -> Duration {
        mean_age(now, self.runs.iter().map(|(_, run)| run))
    }
}

fn mean_age<'a>(now: Duration, runs: impl Iterator<Item = &'a OpenRun>) -> Duration {
    let (mut count, mut sum) = (0, Duration::ZERO);
    for run in runs {
        count += 1;
        sum += now.saturating_sub(run.began);
    }
    sum.checked_div(count).unwrap_or_default()
}
