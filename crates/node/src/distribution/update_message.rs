//! Messages with which nodes request and send updates.

use std::{num::ParseIntError, rc::Rc, str::FromStr, time::Duration};

use super::{PackedConfig, PackedMembers};
use crate::{
    crash::CrashRecord, freshness::RelayedProof, quota::OwnerEntry, rollout::RolloutRecord,
};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    config::{ConfigDelta, ConfigVersion},
    member::MemberUpdate,
    store::Revision,
};

/// A node's request to another for updates.
///
/// The request is sent as the query of an HTTP request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpdateRequest {
    /// Version of the configuration that the requesting node holds; 0 for none.
    pub version: ConfigVersion,
    /// Revision up to which the requesting node knows the members; 0 for none.
    pub members: Revision,
    /// Longest time that the other node may hold the request while it has no update.
    pub wait: Duration,
    /// Whether the requesting node knows already that the other one has lost the store.
    pub knows_store_lost: bool,
    /// Stamp of the last proof of freshness that the other node sent; 0 for none.
    ///
    /// It is absent where no proofs are needed. Nodes that don't know the field ignore it.
    pub proof_stamp: Option<u64>,
    /// Whether the requesting node reads members in compressed form.
    ///
    /// It is written behind the stamp. Nodes that don't know the field ignore it.
    pub accepts_packed: bool,
}

/// Reason why an update request can't be parsed.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum UpdateRequestError {
    /// A field is missing.
    #[snafu(display("a field is missing"))]
    MissingField,
    /// A field isn't a number in range.
    #[snafu(display("{source}"), context(false))]
    BadNumber {
        /// Error of the number parser.
        source: ParseIntError,
    },
}

impl std::fmt::Display for UpdateRequest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let wait_ms = self.wait.as_millis();
        let lost = u64::from(self.knows_store_lost);
        write!(f, "{},{},{wait_ms},{lost}", self.version, self.members)?;
        match (self.proof_stamp, self.accepts_packed) {
            (None, false) => Ok(()),
            (Some(stamp), false) => write!(f, ",{stamp}"),
            (stamp, true) => write!(f, ",{},1", stamp.unwrap_or(0)),
        }
    }
}

impl FromStr for UpdateRequest {
    type Err = UpdateRequestError;

    /// Parses the text that [`Display`](std::fmt::Display) writes.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::distribution::UpdateRequest;
    ///
    /// let request: UpdateRequest = "12,530,2000,0".parse()?;
    /// assert_eq!(request.to_string(), "12,530,2000,0");
    /// let request: UpdateRequest = "12,530,2000,0,77".parse()?;
    /// assert_eq!((request.proof_stamp, request.accepts_packed), (Some(77), false));
    /// let request: UpdateRequest = "12,530,2000,0,0,1".parse()?;
    /// assert!(request.accepts_packed);
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, UpdateRequestError> {
        let mut fields = text.split(',');
        let mut next = || fields.next().ok_or(UpdateRequestError::MissingField);
        Ok(Self {
            version: ConfigVersion(next()?.parse()?),
            members: Revision(next()?.parse()?),
            wait: Duration::from_millis(next()?.parse()?),
            knows_store_lost: next()?.parse::<u8>()? != 0,
            proof_stamp: fields.next().map(str::parse).transpose()?,
            accepts_packed: fields.next() == Some("1"),
        })
    }
}

/// An update to a newer configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The whole newer configuration.
    Whole(Rc<PackedConfig>),
    /// The changes since the version that the requesting node holds.
    Delta(ConfigDelta),
}

/// A node's response to an [`UpdateRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpdateResponse {
    /// Milliseconds since the store last responded to the responding node.
    pub store_age_ms: u64,
    /// Whether the responding node has lost the store.
    pub store_lost: bool,
    /// Proof that the configuration is fresh, if the request asks for it and there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub proof: Option<RelayedProof>,
    /// Update to a newer configuration, if there is one.
    pub config: Option<ConfigUpdate>,
    /// Crashes of backend servers, with the revisions of their records in the store.
    pub crashes: Vec<(u64, CrashRecord)>,
    /// States of rollouts, with the revisions of their records in the store.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<(u64, RolloutRecord)>,
    /// Owners of quota shards that changed since the requested revision.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quota_owners: Vec<OwnerEntry>,
    /// Update of the members since the requested revision; empty if `packed_members` is present.
    pub members: MemberUpdate,
    /// The same in compressed form, if the request accepts it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub packed_members: Option<Rc<PackedMembers>>,
}
