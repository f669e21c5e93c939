//! Run of the program: samples, reports and their result code.

use std::{
    fs, thread,
    time::{Duration, Instant},
};

use geranium_node::result_code::ResultCode;
use snafu::ResultExt;

use crate::{
    BurnError, BurnReport, BurnTracker, Command, FleetSample, FleetSampler, Invocation,
    ObjectiveSource, SampleFile, burn_error::FileSnafu, burn_picture,
};

/// Run that takes samples, stores them and reports after each.
#[derive(Debug)]
pub struct BurnRun<'a> {
    invocation: &'a Invocation,
    sampler: FleetSampler,
    file: Option<SampleFile>,
    tracker: BurnTracker,
    /// Time of the last appended sample, in milliseconds since the Unix epoch.
    ///
    /// `None` if this run has appended none.
    appended_at_ms: Option<u64>,
}

impl<'a> BurnRun<'a> {
    /// Prepares a run and reads the stored samples.
    ///
    /// # Errors
    ///
    /// Returns an error when no node is given or the sample file can't be read.
    pub fn new(invocation: &'a Invocation) -> Result<Self, BurnError> {
        let seeds = invocation.node.clone();
        if seeds.is_empty() {
            return Err(BurnError::NoNode);
        }
        let source = ObjectiveSource {
            path: invocation.objectives.clone(),
        };
        let file = invocation.samples.as_ref().map(SampleFile::new);
        let mut tracker = BurnTracker::new(invocation.window.duration());
        if let Some(file) = &file {
            file.read(|sample| tracker.add(sample))?;
        }
        Ok(Self {
            invocation,
            sampler: FleetSampler::new(seeds, source),
            file,
            tracker,
            appended_at_ms: None,
        })
    }

    /// Takes samples and passes each report to `show`.
    ///
    /// Returns the result code of the last report.
    ///
    /// # Errors
    ///
    /// Returns an error when the first or the last sample fails, or a report
    /// can't be written. With `watch`, the error of a sample in between is passed
    /// to `warn` and the run goes on, since operators need the report most when
    /// the fleet has faults.
    pub fn run(
        mut self,
        mut show: impl FnMut(&BurnReport),
        mut warn: impl FnMut(&BurnError),
    ) -> Result<ResultCode, BurnError> {
        self.sample(true)?;
        let (pause, rounds) = match self.invocation.command {
            Command::Once { over } => (Duration::from_secs(over), 1),
            Command::Watch { every, seconds } => {
                (Duration::from_secs(every), (seconds / every).max(1))
            }
        };
        let started_at = Instant::now();
        let mut result = Ok(ResultCode::PartialReport);
        for round in 1..=rounds {
            let due = pause.saturating_mul(u32::try_from(round).unwrap_or(u32::MAX));
            thread::sleep(due.saturating_sub(started_at.elapsed()));
            result = self.sample(round == rounds);
            match &result {
                Ok(_) => self.report(&mut show)?,
                Err(error) if round < rounds => warn(error),
                Err(_) => {}
            }
        }
        result
    }

    /// Takes one sample, stores it if due, and adds it to the tracker.
    ///
    /// Returns the result code of a report on the samples so far.
    fn sample(&mut self, is_first_or_last: bool) -> Result<ResultCode, BurnError> {
        let sample = self.sampler.sample()?;
        self.append_if_due(&sample, is_first_or_last)?;
        self.tracker.add(sample);
        let is_complete = self.tracker.missing_nodes().0.is_empty();
        Ok(if is_complete {
            ResultCode::Ok
        } else {
            ResultCode::PartialReport
        })
    }

    /// Appends the sample to the sample file, if one is given and it is due.
    ///
    /// The first and the last sample of a run are always appended.
    fn append_if_due(
        &mut self,
        sample: &FleetSample,
        is_first_or_last: bool,
    ) -> Result<(), BurnError> {
        let Some(file) = &self.file else {
            return Ok(());
        };
        let every_ms = self.invocation.keep_every.saturating_mul(1_000);
        let age_ms = |appended_ms: u64| sample.at_ms.saturating_sub(appended_ms);
        let is_due = self
            .appended_at_ms
            .is_none_or(|appended| age_ms(appended) >= every_ms);
        if is_due || is_first_or_last {
            file.append(sample)?;
            self.appended_at_ms = Some(sample.at_ms);
        }
        Ok(())
    }

    /// Builds a report, writes its picture if requested, and calls `show`.
    fn report(&self, show: &mut impl FnMut(&BurnReport)) -> Result<(), BurnError> {
        let report = BurnReport::from(&self.tracker);
        if let Some(path) = &self.invocation.picture {
            let svg = burn_picture(&report)?;
            fs::write(path, svg).context(FileSnafu { path })?;
        }
        show(&report);
        Ok(())
    }
}
