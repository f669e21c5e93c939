//! Failures of operators' commands.

use std::{io, net::SocketAddr, path::PathBuf};

use geranium_node::{
    config::{ConfigError, ConfigVersion},
    result_code::ResultCode,
    store::StoreError,
};
use snafu::Snafu;

use crate::{ActivationRecord, PresetName, PresetRecord};

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
    /// A file isn't a document of the expected shape.
    #[snafu(display("{}, line {line}, field {field}: {reason}", path.display()))]
    BadFile {
        /// The file.
        path: PathBuf,
        /// Line at which the parser stopped.
        line: usize,
        /// Field at which it stopped.
        field: String,
        /// What it met.
        reason: String,
    },
    /// A document fails a check.
    #[snafu(display("{origin}: {source}"))]
    BadDocument {
        /// File or preset.
        origin: String,
        /// The failed check.
        source: ConfigError,
    },
    /// No preset has the name.
    #[snafu(display("no preset is named `{preset}`"))]
    UnknownPreset {
        /// The name.
        preset: PresetName,
    },
    /// A record in the store can't be read.
    #[snafu(display("the record `{key}` can't be read: {reason}"))]
    BadRecord {
        /// Key of the record.
        key: String,
        /// What the parser found.
        reason: String,
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
    /// The store failed, and nothing was written.
    #[snafu(display("{source}; nothing was changed"))]
    Store {
        /// The failure.
        source: StoreError,
    },
    /// Another activation came first, or another version is in force.
    #[snafu(display("not activated: version {in_force} is in force{}", by_activation(last.as_deref())))]
    LostActivation {
        /// Version in force.
        in_force: ConfigVersion,
        /// Its activation, if it was made by this client.
        last: Option<Box<ActivationRecord>>,
    },
    /// Another operator changed the preset first.
    #[snafu(display("not stored: the preset was stored by {} meanwhile", current.stamp.operator))]
    LostPut {
        /// What the name stands for now.
        current: Box<PresetRecord>,
    },
    /// Whether a write took effect isn't known.
    #[snafu(display(
        "whether operation {operation} took effect isn't known ({source}); \
         `history` and `show` tell"
    ))]
    WriteUnknown {
        /// The operation.
        operation: String,
        /// The last failure.
        source: StoreError,
    },
    /// A node's page can't be read.
    #[snafu(display("the page of the node at {addr} can't be read: {source}"))]
    NodePage {
        /// Address of the page.
        addr: SocketAddr,
        /// What the connection ended with.
        source: attohttpc::Error,
    },
    /// The command needs the store.
    #[snafu(display("the store's address is needed: --store or GERANIUM_STORE"))]
    NoStore,
    /// The command writes, and nobody is named for it.
    #[snafu(display("the operator's name is needed: --operator or GERANIUM_OPERATOR"))]
    NoOperator,
}

impl CtlError {
    /// Returns the numbered code, from which the exit status is derived.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::File { .. } => ResultCode::FileUnreadable,
            Self::BadFile { .. } => ResultCode::PresetMalformed,
            Self::BadDocument { .. } => ResultCode::PresetRefused,
            Self::UnknownPreset { .. } => ResultCode::PresetUnknown,
            Self::BadRecord { .. } => ResultCode::RecordMalformed,
            Self::Store { source } => match source {
                StoreError::Unexpected { .. } => ResultCode::StoreBadAnswer,
                _ => ResultCode::StoreUnavailable,
            },
            Self::LostActivation { .. } | Self::LostPut { .. } => ResultCode::LostRace,
            Self::WriteUnknown { .. } => ResultCode::WriteUnknown,
            Self::NoStore | Self::NoOperator => ResultCode::BadSetting,
            Self::NodePage { .. } => ResultCode::NodePageUnreachable,
            Self::UnknownRequest { .. } => ResultCode::RequestUnknown,
            Self::LogIncomplete { .. } => ResultCode::LogIncomplete,
        }
    }
}

fn by_activation(last: Option<&ActivationRecord>) -> String {
    last.map_or_else(String::new, |record| format!(" ({record})"))
}
