//! Load of a backend server, as its node reports it.

use std::{num::ParseIntError, str::FromStr, time::Duration};

use snafu::Snafu;

use crate::{
    pace::{PaceError, PaceRatio},
    rate_limit::{LimitLoad, RequestRate},
};

/// Load of a backend server, which its node reports with each response.
///
/// All requests to the backend server usually pass through its node, so the numbers of requests
/// are exact when the report is sent. What the backend server says of others is added.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that are running, those from elsewhere included.
    pub running: u32,
    /// Number of requests in the node's queue.
    pub waiting: u32,
    /// Run time expected now over all routes, by which waiting times are estimated; zero if unknown.
    pub mean_run_time: Duration,
    /// Run time expected now of the requested route; zero if unknown.
    pub route_run_time: Duration,
    /// Time that the instance's link needs for the responses already admitted to it.
    pub link_backlog: Duration,
    /// Room that the backend server's limit leaves; none if it names no limit.
    pub limit: Option<LimitLoad>,
    /// Pace that is part of the run times; none if the backend server reports none that helps.
    pub pace: Option<PaceRatio>,
}

/// Why the text of a load report can't be parsed.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum LoadReportError {
    /// The text has fewer than five fields.
    #[snafu(display("the load report has fewer than five fields"))]
    Missing,
    /// A field isn't a valid number.
    #[snafu(display("invalid field in the load report: {source}"), context(false))]
    Field {
        /// Error of the number parser.
        source: ParseIntError,
    },
    /// The pace is out of bounds.
    #[snafu(display("invalid pace in the load report: {source}"), context(false))]
    Pace {
        /// Error of the pace.
        source: PaceError,
    },
}

impl LoadReport {
    /// Returns the run time over all routes at the usual pace in seconds; zero if unknown.
    pub(super) fn base_mean_run_s(&self) -> f64 {
        self.mean_run_time.as_secs_f64() / self.pace.map_or(1.0, PaceRatio::factor)
    }

    /// Returns the run time of the requested route at the usual pace in seconds; zero if unknown.
    pub(super) fn base_route_run_s(&self) -> f64 {
        self.route_run_time.as_secs_f64() / self.pace.map_or(1.0, PaceRatio::factor)
    }
}

impl std::fmt::Display for LoadReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [mean_run_ms, route_run_ms, link_backlog_ms] =
            [self.mean_run_time, self.route_run_time, self.link_backlog]
                .map(|time| time.as_millis());
        write!(
            f,
            "{},{},{mean_run_ms},{route_run_ms},{link_backlog_ms}",
            self.running, self.waiting
        )?;
        if let Some(limit) = self.limit {
            write!(f, ",{},{}", limit.rate.millis(), limit.wait.as_millis())?;
        }
        if let Some(pace) = self.pace {
            write!(f, ",{}", pace.percent())?;
        }
        Ok(())
    }
}

impl FromStr for LoadReport {
    type Err = LoadReportError;

    /// Parses the format that [`Display`](std::fmt::Display) writes. The two fields about the
    /// limit and the last one, the pace, may be missing. Nodes of earlier versions ignore the pace.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::member::LoadReport;
    ///
    /// let report: LoadReport = "3,1,120,40,0".parse()?;
    /// assert_eq!((report.running, report.waiting), (3, 1));
    /// assert_eq!(report.to_string(), "3,1,120,40,0");
    /// let limited: LoadReport = "3,1,120,40,0,12500,80".parse()?;
    /// assert_eq!(limited.limit.map(|limit| limit.rate.millis()), Some(12_500));
    /// let paced: LoadReport = "3,1,120,40,0,250".parse()?;
    /// assert_eq!((paced.pace.map(|pace| pace.percent()), paced.limit), (Some(250), None));
    /// let both: LoadReport = "3,1,120,40,0,12500,80,250".parse()?;
    /// assert!(both.limit.is_some() && both.pace == paced.pace);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, LoadReportError> {
        let mut fields = text.split(',');
        let mut next = || fields.next().ok_or(LoadReportError::Missing);
        let (running, waiting) = (next()?.parse()?, next()?.parse()?);
        let mut next_duration =
            || Ok::<_, LoadReportError>(Duration::from_millis(next()?.parse()?));
        let mean_run_time = next_duration()?;
        let route_run_time = next_duration()?;
        let link_backlog = next_duration()?;
        let (limit, pace) = match (fields.next(), fields.next(), fields.next()) {
            (Some(rate), Some(wait), pace) => {
                let limit = LimitLoad {
                    rate: RequestRate::from_millis(rate.parse()?),
                    wait: Duration::from_millis(wait.parse()?),
                };
                (Some(limit), pace)
            }
            (pace, ..) => (None, pace),
        };
        let percent: Option<u32> = pace.map(str::parse).transpose()?;
        let pace = percent
            .map(|percent| PaceRatio::try_from(f64::from(percent)))
            .transpose()?;
        Ok(Self {
            running,
            waiting,
            mean_run_time,
            route_run_time,
            link_backlog,
            limit,
            pace,
        })
    }
}
