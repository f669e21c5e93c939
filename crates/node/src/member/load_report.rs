//! Load of a backend server, as the node beside it tells.

use std::{num::ParseIntError, str::FromStr, time::Duration};

use snafu::Snafu;

/// Load of a backend server, as the node beside it tells with each answer.
///
/// That node is the only way in, so the figures are exact when they leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the node.
    pub waiting: u32,
    /// Mean time of a run of any class, at which the queue moves.
    pub service: Duration,
    /// Mean time of a run of the class that was asked for.
    pub run: Duration,
    /// Time for which the instance's link is spoken for.
    pub link: Duration,
}

/// A load report that can't be read.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum LoadReportError {
    /// A figure is missing.
    #[snafu(display("a figure is missing"))]
    Missing,
    /// A figure isn't a number.
    #[snafu(display("{source}"), context(false))]
    Figure {
        /// What the parser met.
        source: ParseIntError,
    },
}

impl std::fmt::Display for LoadReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [service, run, link] = [self.service, self.run, self.link].map(|time| time.as_millis());
        write!(
            f,
            "{},{},{service},{run},{link}",
            self.running, self.waiting
        )
    }
}

impl FromStr for LoadReport {
    type Err = LoadReportError;

    /// Reads what [`Display`](std::fmt::Display) wrote.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::member::LoadReport;
    ///
    /// let report: LoadReport = "3,1,120,40,0".parse()?;
    /// assert_eq!((report.running, report.waiting), (3, 1));
    /// assert_eq!(report.to_string(), "3,1,120,40,0");
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, LoadReportError> {
        let mut figures = text.split(',');
        let mut next = || figures.next().ok_or(LoadReportError::Missing);
        let (running, waiting) = (next()?.parse()?, next()?.parse()?);
        let mut millis = || Ok::<_, LoadReportError>(Duration::from_millis(next()?.parse()?));
        Ok(Self {
            running,
            waiting,
            service: millis()?,
            run: millis()?,
            link: millis()?,
        })
    }
}
