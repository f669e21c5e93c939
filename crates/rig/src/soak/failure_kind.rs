//! Kinds of failures that the soak draws.

use serde::{Deserialize, Serialize};
use strum::{Display, VariantArray};

/// What fails.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum FailureKind {
    /// A node is killed and comes back.
    NodeKill,
    /// A backend server is killed and comes back.
    BackendKill,
    /// Several nodes are killed at once.
    NodeHerd,
    /// Several backend servers are killed at once.
    BackendHerd,
    /// A node stands still.
    NodeStop,
    /// A node is asked to terminate, ends by itself and comes back.
    NodeTerm,
    /// A backend server is asked to terminate, ends by itself and comes back.
    BackendTerm,
    /// The platform answers 503.
    PlatformDown,
    /// The platform drops connections.
    PlatformDrop,
    /// The platform answers late.
    PlatformSlow,
    /// The platform's reads are old.
    PlatformStale,
    /// Writes take effect and their answers are lost.
    PlatformLostAnswers,
    /// Waiting watches are cut.
    PlatformCutWatches,
    /// Two operators activate different presets at once.
    OperatorRace,
    /// A preset with a route to nowhere is put in force past the client.
    BadPreset,
    /// A backend server takes ten times as long.
    BackendSlow,
    /// A backend server refuses everything.
    BackendShed,
    /// Answers break off midway.
    MidBody,
    /// A backend server reports no load and good health whatever is true.
    LyingIdle,
    /// A backend server reports full load and bad health though it is well.
    LyingSick,
}

impl FailureKind {
    /// Reports whether it takes hold of processes, which only one such failure
    /// may do at a time.
    pub const fn holds_process(self) -> bool {
        matches!(
            self,
            Self::NodeKill
                | Self::BackendKill
                | Self::NodeHerd
                | Self::BackendHerd
                | Self::NodeStop
                | Self::NodeTerm
                | Self::BackendTerm
        )
    }

    /// Reports whether it concerns backend servers, not nodes.
    pub const fn hits_backend(self) -> bool {
        matches!(
            self,
            Self::BackendKill
                | Self::BackendHerd
                | Self::BackendTerm
                | Self::BackendSlow
                | Self::BackendShed
                | Self::LyingIdle
                | Self::LyingSick
        )
    }

    /// Reports whether it may end requests without an answer by itself.
    pub const fn breaks_answers(self) -> bool {
        matches!(
            self,
            Self::NodeKill
                | Self::BackendKill
                | Self::NodeHerd
                | Self::BackendHerd
                | Self::NodeStop
                | Self::BackendSlow
                | Self::MidBody
        )
    }

    /// Reports whether it is an orderly end.
    pub const fn is_graceful(self) -> bool {
        matches!(self, Self::NodeTerm | Self::BackendTerm)
    }

    /// Returns the platform stand-in's faults for it, if it is the platform's.
    pub fn platform_faults(self) -> Option<serde_json::Value> {
        use serde_json::json;
        match self {
            Self::PlatformDown => Some(json!({"down": "unavailable"})),
            Self::PlatformDrop => Some(json!({"down": "drop"})),
            Self::PlatformSlow => Some(json!({"slow_ms": 700})),
            Self::PlatformStale => Some(json!({"stale_reads_ms": 4_000})),
            Self::PlatformLostAnswers => Some(json!({"lose_write_answers": 3})),
            Self::PlatformCutWatches => Some(json!({"cut_watches": true})),
            _ => None,
        }
    }

    /// Returns the backend stand-in's faults for it, if it has any.
    pub fn backend_faults(self) -> Option<serde_json::Value> {
        use serde_json::json;
        match self {
            Self::BackendSlow => Some(json!({"slow_factor": 10.0})),
            Self::BackendShed => Some(json!({"shed_all": true})),
            Self::LyingIdle => Some(json!({"false_load": 0, "false_health": true})),
            Self::LyingSick => Some(json!({"false_load": 1_000, "false_health": false})),
            _ => None,
        }
    }
}
