//! Messages between nodes.

use geranium_model::{
    ContentDigest, CrashRow, InForce, Incarnation, InstanceName, MemberRow, MemberState,
    PresetVersion,
};
use serde::{Deserialize, Serialize};
use strum::{EnumCount, IntoStaticStr, VariantNames};

use crate::WireDelta;

/// One message from node to node.
///
/// Each may be lost, doubled or overtaken: none is an answer that the sender
/// waits for, and applying one twice changes nothing.
#[derive(
    Debug, Clone, PartialEq, Serialize, Deserialize, IntoStaticStr, EnumCount, VariantNames,
)]
#[strum(serialize_all = "kebab-case")]
pub enum ControlMessage {
    /// Summary of what the sender knows; also its heartbeat.
    Digest(StateDigest),
    /// First contact of a newcomer.
    Join(MemberRow),
    /// Rows that changed or were asked for.
    Rows(Vec<MemberRow>),
    /// Hashes of the sender's member buckets, after roots differed.
    Buckets(Vec<u64>),
    /// What the sender holds in the buckets that differ.
    Marks {
        /// The buckets listed.
        buckets: Vec<u8>,
        /// One mark for each row in them, also for tombstones.
        marks: Vec<RowMark>,
    },
    /// Keys of rows that the sender lacks.
    RowsWanted(Vec<u64>),
    /// Crash rows with the time they have left.
    Crashes {
        /// The rows.
        notes: Vec<CrashNote>,
        /// Whether the receiver should return those that are missing here.
        complete: bool,
    },
    /// Asks the receiver to contact `target` on the sender's behalf.
    ProbeRequest(InstanceName),
    /// The named member answered the sender.
    ProbeSeen(InstanceName),
    /// Asks for the newest configuration.
    ConfigWant {
        /// Preset that the sender could apply a delta to.
        have: Option<ContentDigest>,
    },
    /// A version with the change that leads to its content.
    ConfigDelta {
        /// The version.
        in_force: InForce,
        /// The change.
        delta: WireDelta,
    },
    /// A version whose content the sender holds and gives on request.
    ConfigOffer(InForce),
    /// Asks for chunks of a document from `first` on.
    ChunkWant {
        /// The document.
        digest: ContentDigest,
        /// First chunk asked for.
        first: u16,
    },
    /// A part of a document.
    Chunk {
        /// The document.
        digest: ContentDigest,
        /// Place of the part, from 0.
        index: u16,
        /// Number of parts.
        total: u16,
        /// Content of the part.
        bytes: Vec<u8>,
    },
}

/// Why a digest was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DigestKind {
    /// Along a link that the sender chose; the receiver answers.
    Link,
    /// To check that the receiver is there; the receiver answers.
    Probe,
    /// In answer to one of the others.
    Reply,
}

/// Summary of what a node knows, of a size that doesn't grow with the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDigest {
    /// Why it was sent.
    pub kind: DigestKind,
    /// Configuration in force at the sender.
    pub config: Option<ConfigMark>,
    /// Hash over all rows that aren't gone.
    pub members: u64,
    /// Hash over all crash rows.
    pub crashes: u64,
    /// Highest beat heard of each data centre, by the key of its name.
    pub beats: Vec<(u64, u32)>,
}

/// A configuration version and a short hash of its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigMark {
    /// The version.
    pub version: PresetVersion,
    /// First eight bytes of the content's digest.
    pub tag: u64,
}

impl From<&InForce> for ConfigMark {
    fn from(in_force: &InForce) -> Self {
        Self {
            version: in_force.version,
            tag: content_tag(in_force.digest),
        }
    }
}

/// Shortens a digest to its first eight bytes.
pub(crate) fn content_tag(digest: ContentDigest) -> u64 {
    let (head, _) = digest.as_bytes().split_at(size_of::<u64>());
    head.iter().fold(0, |tag, byte| tag << 8 | u64::from(*byte))
}

/// Which row of a member the sender holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowMark {
    /// Key of the instance name.
    pub key: u64,
    /// Incarnation of the row.
    pub incarnation: Incarnation,
    /// State of the row.
    pub state: MemberState,
}

/// A crash row and the time it has left.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNote {
    /// The row.
    pub row: CrashRow,
    /// Milliseconds until it expires.
    pub ms_left: u32,
}
