//! What nodes ask and tell one another.

use std::{num::ParseIntError, rc::Rc, str::FromStr, time::Duration};

use super::PackedConfig;
use crate::crash::CrashRecord;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    config::{ConfigDelta, ConfigVersion},
    member::MemberUpdate,
    store::Revision,
};

/// What a node asks another, in the query of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpdateRequest {
    /// Version of the configuration that the asking node holds; 0 for none.
    pub version: ConfigVersion,
    /// Revision up to which it knows the members; 0 for none.
    pub members: Revision,
    /// Longest time that it waits for news.
    pub wait: Duration,
    /// Whether it knows already that the node it asks has lost the store.
    pub lost_known: bool,
}

/// A question that can't be read.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum UpdateRequestError {
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

impl std::fmt::Display for UpdateRequest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let wait_ms = self.wait.as_millis();
        let lost = u64::from(self.lost_known);
        write!(f, "{},{},{wait_ms},{lost}", self.version, self.members)
    }
}

impl FromStr for UpdateRequest {
    type Err = UpdateRequestError;

    /// Reads what [`Display`](std::fmt::Display) wrote.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::distribution::UpdateRequest;
    ///
    /// let question: UpdateRequest = "12,530,2000,0".parse()?;
    /// assert_eq!(question.to_string(), "12,530,2000,0");
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, UpdateRequestError> {
        let mut figures = text.split(',');
        let mut next = || figures.next().ok_or(UpdateRequestError::Missing);
        Ok(Self {
            version: ConfigVersion(next()?.parse()?),
            members: Revision(next()?.parse()?),
            wait: Duration::from_millis(next()?.parse()?),
            lost_known: next()?.parse::<u8>()? != 0,
        })
    }
}

/// A newer configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// All of it.
    Whole(Rc<PackedConfig>),
    /// What changed since the version that the asking node named.
    Delta(ConfigDelta),
}

/// What a node tells one that asked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpdateResponse {
    /// Milliseconds since the store last answered this node.
    pub store_age_ms: u64,
    /// Whether the store doesn't answer this node now.
    pub store_lost: bool,
    /// A newer configuration, if there is one.
    pub config: Option<ConfigUpdate>,
    /// Crashes of backend servers, with the revisions at which they were told.
    pub crashes: Vec<(u64, CrashRecord)>,
    /// News of the members.
    pub members: MemberUpdate,
}
