//! Failures of operators' commands.

use std::{io, net::SocketAddr, path::PathBuf};

use geranium_model::{
    ContentDigest, DocumentError, InForce, OperationId, PresetName, PresetVersion, ResultCode,
};
use geranium_platform::{EndpointError, PlatformError};
use snafu::Snafu;

use crate::{PresetPointer, utc_time::utc_time};

/// A command that failed; the message tells the operator what holds now.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// A file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file holds a document that fails a check.
    #[snafu(display("{}{}: {source}", path.display(), line_suffix(*line)))]
    BadFile {
        /// The file.
        path: PathBuf,
        /// Line of the field, where one is to blame.
        line: Option<usize>,
        /// The failed check.
        source: DocumentError,
    },
    /// The platform holds a document that fails a check.
    #[snafu(display("content {digest} in the platform: {source}"))]
    BadContent {
        /// Digest that it is stored under.
        digest: ContentDigest,
        /// The failed check.
        source: DocumentError,
    },
    /// The platform holds other content than its key says.
    #[snafu(display("content {digest} in the platform doesn't fit its digest"))]
    DigestMismatch {
        /// Digest that it is stored under.
        digest: ContentDigest,
    },
    /// The platform lacks content that a preset names.
    #[snafu(display("preset `{preset}` names content {digest}, which the platform lacks"))]
    MissingContent {
        /// The preset.
        preset: PresetName,
        /// The missing content.
        digest: ContentDigest,
    },
    /// No preset has the name.
    #[snafu(display("no preset is named `{preset}`"))]
    UnknownPreset {
        /// The name.
        preset: String,
    },
    /// A record in the platform can't be read.
    #[snafu(display("the record `{key}` can't be read: {source}"))]
    BadRecord {
        /// Key of the record.
        key: String,
        /// What the parser found.
        source: serde_json::Error,
    },
    /// No line names the request.
    #[snafu(display("no line names request `{request}`: plain successes in time are not logged"))]
    UnknownRequest {
        /// Identifier of the request.
        request: String,
    },
    /// No line names the request, and lines are missing.
    #[snafu(display(
        "no line names request `{request}`, and {lines} lines were dropped or withheld"
    ))]
    LogIncomplete {
        /// Identifier of the request.
        request: String,
        /// Lines that are missing.
        lines: u64,
    },
    /// The platform failed, and nothing was written.
    #[snafu(display("{source}; nothing was changed"))]
    Platform {
        /// The failure.
        source: PlatformError,
    },
    /// Another activation came first.
    #[snafu(display("not activated: {}", describe(current.as_deref())))]
    LostActivation {
        /// The record in force.
        current: Option<Box<InForce>>,
    },
    /// Another operator changed the preset first.
    #[snafu(display("not stored: {}", describe_pointer(current.as_deref())))]
    LostPut {
        /// What the name stands for now.
        current: Option<Box<PresetPointer>>,
    },
    /// Whether an activation took effect isn't known.
    #[snafu(display(
        "whether operation {operation} put version {version} in force isn't known ({reason}); \
         `history` shows it if it did"
    ))]
    ActivationUnknown {
        /// The operation.
        operation: OperationId,
        /// The version it would have.
        version: PresetVersion,
        /// The last failure.
        reason: String,
    },
    /// Whether a preset was stored isn't known.
    #[snafu(display(
        "whether operation {operation} stored the preset isn't known ({reason}); \
         `show` tells; storing it again is harmless"
    ))]
    PutUnknown {
        /// The operation.
        operation: OperationId,
        /// The last failure.
        reason: String,
    },
    /// The command needs the platform.
    #[snafu(display("the platform's endpoints are needed: --platform or GERANIUM_PLATFORM"))]
    NoPlatform,
    /// The command writes, and nobody is named for it.
    #[snafu(display("the operator's name is needed: --operator or GERANIUM_OPERATOR"))]
    NoOperator,
    /// The command needs a node.
    #[snafu(display("the admin address of a node is needed: --node or GERANIUM_NODES"))]
    NoNode,
    /// The platform's endpoints can't be used.
    #[snafu(transparent)]
    BadEndpoints {
        /// What is wrong with them.
        source: EndpointError,
    },
    /// A node's admin port can't be reached.
    #[snafu(display("the node at {addr} can't be reached: {source}"))]
    NodeUnreachable {
        /// Admin address.
        addr: SocketAddr,
        /// What the connection ended with.
        source: attohttpc::Error,
    },
    /// A node's admin port answered with something unexpected.
    #[snafu(display("the node at {addr} answered with something unexpected: {reason}"))]
    NodeBadAnswer {
        /// Admin address.
        addr: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
    /// The nodes don't know the instance.
    #[snafu(display("no node knows an instance named `{instance}`"))]
    UnknownInstance {
        /// The instance.
        instance: String,
    },
}

impl CtlError {
    /// Returns the numbered code, from which the exit status is derived.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::File { .. } => ResultCode::FileUnreadable,
            Self::BadFile { source, .. } | Self::BadContent { source, .. } => source.code(),
            Self::DigestMismatch { .. } | Self::MissingContent { .. } => {
                ResultCode::PresetDigestMismatch
            }
            Self::UnknownPreset { .. } => ResultCode::PresetUnknown,
            Self::BadRecord { .. } => ResultCode::InForceMalformed,
            Self::Platform { source } => source.code(),
            Self::LostActivation { .. } | Self::LostPut { .. } => ResultCode::LostRace,
            Self::ActivationUnknown { .. } | Self::PutUnknown { .. } => ResultCode::WriteUnknown,
            Self::NoPlatform | Self::NoOperator | Self::NoNode | Self::BadEndpoints { .. } => {
                ResultCode::BadSetting
            }
            Self::UnknownRequest { .. } => ResultCode::RequestUnknown,
            Self::LogIncomplete { .. } => ResultCode::LogIncomplete,
            Self::NodeUnreachable { .. } => ResultCode::AdminUnreachable,
            Self::NodeBadAnswer { .. } | Self::UnknownInstance { .. } => ResultCode::AdminBadAnswer,
        }
    }
}

fn line_suffix(line: Option<usize>) -> String {
    line.map_or_else(String::new, |number| format!(", line {number}"))
}

fn describe(current: Option<&InForce>) -> String {
    let Some(record) = current else {
        return "no version is in force".to_owned();
    };
    format!(
        "version {} is in force, preset `{}`, activated by {} at {} (operation {})",
        record.version,
        record.preset,
        record.operator,
        utc_time(record.written_at_ms),
        record.operation,
    )
}

fn describe_pointer(current: Option<&PresetPointer>) -> String {
    let Some(pointer) = current else {
        return "no preset has this name".to_owned();
    };
    format!(
        "preset `{}` has content {}, stored by {} at {} (operation {})",
        pointer.preset,
        pointer.digest,
        pointer.operator,
        utc_time(pointer.written_at_ms),
        pointer.operation,
    )
}
