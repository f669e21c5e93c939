//! Sampling, keeping and reporting.

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

/// One run of the program.
#[derive(Debug)]
pub struct BurnRun<'a> {
    invocation: &'a Invocation,
    sampler: FleetSampler,
    file: Option<SampleFile>,
    tracker: BurnTracker,
    kept_at_ms: Option<u64>,
}

impl<'a> BurnRun<'a> {
    /// Reads the kept samples.
    ///
    /// # Errors
    ///
    /// Without a node, or when the sample file can't be used.
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
            kept_at_ms: None,
        })
    }

    /// Takes samples and hands each report to `show`; returns the last
    /// report's code.
    ///
    /// # Errors
    ///
    /// Any failure of the first or, with `once`, the second sample. A later
    /// sample of `watch` that fails as a whole goes to `warn`, and the next one
    /// is awaited: the fleet's trouble is when the report is needed.
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
        let begun = Instant::now();
        let mut result = Ok(ResultCode::PartialReport);
        for round in 1..=rounds {
            let due = pause.saturating_mul(u32::try_from(round).unwrap_or(u32::MAX));
            thread::sleep(due.saturating_sub(begun.elapsed()));
            result = self.sample(round == rounds);
            match &result {
                Ok(_) => self.report(&mut show)?,
                Err(error) if round < rounds => warn(error),
                Err(_) => {}
            }
        }
        result
    }

    /// Takes one sample; returns what a report of it would end with.
    fn sample(&mut self, is_edge: bool) -> Result<ResultCode, BurnError> {
        let sample = self.sampler.sample()?;
        self.keep(&sample, is_edge)?;
        self.tracker.add(sample);
        let is_whole = self.tracker.losses().0.is_empty();
        Ok(if is_whole {
            ResultCode::Ok
        } else {
            ResultCode::PartialReport
        })
    }

    fn keep(&mut self, sample: &FleetSample, is_edge: bool) -> Result<(), BurnError> {
        let Some(file) = &self.file else {
            return Ok(());
        };
        let every_ms = self.invocation.keep_every.saturating_mul(1_000);
        let age_ms = |kept_ms: u64| sample.at_ms.saturating_sub(kept_ms);
        let is_due = self.kept_at_ms.is_none_or(|kept| age_ms(kept) >= every_ms);
        if is_due || is_edge {
            file.append(sample)?;
            self.kept_at_ms = Some(sample.at_ms);
        }
        Ok(())
    }

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
