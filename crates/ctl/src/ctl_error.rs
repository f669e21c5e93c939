//! Errors of the operators' commands.

use std::{io, net::SocketAddr, path::PathBuf};

use geranium_node::{
    config::{ConfigError, ConfigVersion},
    result_code::ResultCode,
    store::StoreError,
};
use snafu::Snafu;

use crate::{ActivationRecord, KeyChangeError, KeyTextError, PresetName, PresetRecord};

/// Error of a command; its message says whether anything was changed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CtlError {
    /// A file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file can't be parsed as a preset document.
    #[snafu(display("{}, line {line}, field {field}: {reason}", path.display()))]
    BadFile {
        /// Path of the file.
        path: PathBuf,
        /// Line at which the parser stopped.
        line: usize,
        /// Field at which the parser stopped.
        field: String,
        /// Description of the parser's error.
        reason: String,
    },
    /// A preset or the configuration in force fails a check.
    #[snafu(display("{origin}: {source}"))]
    BadDocument {
        /// File, preset or key that holds the document.
        origin: String,
        /// Check that failed.
        source: ConfigError,
    },
    /// No preset has the given name.
    #[snafu(display("no preset is named `{preset}`"))]
    UnknownPreset {
        /// Name that was given.
        preset: PresetName,
    },
    /// A record in the store can't be parsed.
    #[snafu(display("the record `{key}` can't be parsed: {reason}"))]
    BadRecord {
        /// Key of the record.
        key: String,
        /// Description of the parser's error in the record.
        reason: String,
    },
    /// No log line names the request.
    #[snafu(display(
        "no line names request `{request}`; requests answered in time at the first try are not logged"
    ))]
    UnknownRequest {
        /// Identifier of the caller's attempt that was searched for.
        request: String,
    },
    /// No log line names the request, and lines are missing from the logs.
    #[snafu(display(
        "no line names request `{request}`, and {lines} lines were dropped or withheld"
    ))]
    LogIncomplete {
        /// Identifier of the caller's attempt that was searched for.
        request: String,
        /// Number of lines that the nodes dropped or withheld under load.
        lines: u64,
    },
    /// The store failed, and nothing was written.
    #[snafu(display("{source}; nothing was changed"))]
    Store {
        /// Error of the store.
        source: StoreError,
    },
    /// Another activation came first, or another version is in force.
    #[snafu(display("not activated: version {in_force} is in force{}", activation_suffix(last.as_deref())))]
    NotActivated {
        /// Version in force, or the lowest possible if it couldn't be read.
        in_force: ConfigVersion,
        /// Activation of that version, if the history has its record.
        last: Option<Box<ActivationRecord>>,
    },
    /// Another operator stored the preset between this command's read and write.
    #[snafu(display("not stored: {} stored the preset in the meantime", current.stamp.operator))]
    NotStored {
        /// Record that the store has now.
        current: Box<PresetRecord>,
    },
    /// Whether a write took effect isn't known.
    #[snafu(display(
        "it isn't known whether operation {write_id} took effect ({source}); \
         look for it with `history` or `show`"
    ))]
    WriteUnknown {
        /// Identifier of the write, as [`WriteStamp::write_id`](crate::WriteStamp) has it.
        write_id: String,
        /// Error of the store that one of the tries ended with.
        source: StoreError,
    },
    /// The members that a node knows can't be read.
    #[snafu(display("the members that the node at {addr} knows can't be read: {source}"))]
    NodePage {
        /// Admin address of the node.
        addr: SocketAddr,
        /// Error that the request to the node ended with.
        source: attohttpc::Error,
    },
    /// An account's keys can't be changed as asked.
    #[snafu(display("account {account}: {source}; nothing was changed"))]
    KeyChange {
        /// Name of the account that was given.
        account: String,
        /// Reason of the refusal.
        source: KeyChangeError,
    },
    /// A key can't be read from standard input or the file given.
    #[snafu(display("the key is unusable: {source}"))]
    BadKey {
        /// Reason of the refusal, without the key.
        source: KeyTextError,
    },
    /// A change was written, but not every node is known to have it in force.
    #[snafu(display(
        "version {version} is written, but not known to be in force everywhere: {nodes};          `status` shows more"
    ))]
    NotInForce {
        /// Version that holds the change.
        version: ConfigVersion,
        /// Nodes that lag behind or don't respond.
        nodes: String,
    },
    /// The command needs the store, and its address wasn't given.
    #[snafu(display("the store's address is needed: --store or GERANIUM_STORE"))]
    NoStore,
    /// The command writes, and no operator's name was given.
    #[snafu(display("the operator's name is needed: --operator or GERANIUM_OPERATOR"))]
    NoOperator,
}

impl CtlError {
    /// Returns the numbered result code, from which the exit status is derived.
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
            Self::NotActivated { .. } | Self::NotStored { .. } => ResultCode::LostRace,
            Self::WriteUnknown { .. } => ResultCode::WriteUnknown,
            Self::KeyChange { source, .. } => match source {
                KeyChangeError::NoAccount | KeyChangeError::NoKey | KeyChangeError::Ambiguous => {
                    ResultCode::AccountUnknown
                }
                KeyChangeError::InUse | KeyChangeError::Unreadable => ResultCode::KeyRefused,
            },
            Self::BadKey { .. } => ResultCode::KeyRefused,
            Self::NotInForce { .. } => ResultCode::NotInForce,
            Self::NoStore | Self::NoOperator => ResultCode::BadSetting,
            Self::NodePage { .. } => ResultCode::NodePageUnreachable,
            Self::UnknownRequest { .. } => ResultCode::RequestUnknown,
            Self::LogIncomplete { .. } => ResultCode::LogIncomplete,
        }
    }
}

/// Returns the activation in parentheses after a space, or an empty text without one.
fn activation_suffix(last: Option<&ActivationRecord>) -> String {
    last.map_or_else(String::new, |record| format!(" ({record})"))
}
