//! Command line of the client.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use clap::{Parser, Subcommand};
use geranium_node::config::ConfigVersion;

use crate::{OutputFormat, PresetName, PresetNameError};

/// Examples and exit statuses, at the end of the program's help.
const EXAMPLES: &str = "\
Examples:
  geranium-ctl check peak.json
  geranium-ctl put peak peak.json
  geranium-ctl diff ordinary-day peak
  geranium-ctl activate peak
  geranium-ctl activate ordinary-day --expect-version 41
  geranium-ctl status
  geranium-ctl --output json history

Exit status: 0 for success, 2 for a bad command line, otherwise the first and
the last digit of the result code in the message (33 for code 303).";

/// Examples at the end of the help of `diff`.
const DIFF_EXAMPLES: &str = "\
Examples:
  geranium-ctl diff ordinary-day peak
  geranium-ctl diff peak ./edited/peak.json";

/// Examples at the end of the help of `explain`.
const EXPLAIN_EXAMPLES: &str = "\
Examples:
  geranium-ctl explain 9c41d07be2a35f68 /var/log/geranium/*.log
  geranium-ctl --output json explain 9c41d07be2a35f68 < all.log";

/// Examples at the end of the help of `account`.
const ACCOUNT_EXAMPLES: &str = "\
Examples:
  geranium-ctl account list
  geranium-ctl account add-key till < new-key.txt
  geranium-ctl account revoke-key till 1f3c9a0e

A key is read from a file or standard input, so that it isn't in the shell's
history or the list of processes.";

/// Manage presets and show the state of the fleet, for operators.
#[derive(Debug, Clone, Parser)]
#[command(name = "geranium-ctl", version, after_help = EXAMPLES, max_term_width = 100)]
pub struct Invocation {
    /// Address of the metadata store, IP:PORT.
    #[arg(long, global = true, env = "GERANIUM_STORE", hide_env_values = true)]
    pub store: Option<SocketAddr>,
    /// Admin addresses of one or more nodes, IP:PORT; `status` asks them for the other nodes if
    /// the store can't be read.
    #[arg(
        long,
        global = true,
        env = "GERANIUM_NODES",
        value_delimiter = ',',
        hide_env_values = true
    )]
    pub node: Vec<SocketAddr>,
    /// Port of the nodes' admin addresses, on each node's own IP address.
    #[arg(
        long,
        global = true,
        env = "GERANIUM_METRICS_PORT",
        hide_env_values = true,
        default_value_t = 9464
    )]
    pub status_port: u16,
    /// Operator's name, which is recorded with every write.
    #[arg(long, global = true, env = "GERANIUM_OPERATOR", hide_env_values = true)]
    pub operator: Option<String>,
    /// Number of tries of a write that gets no response or finds the store busy; five tries span
    /// 6 s.
    #[arg(
        long,
        global = true,
        env = "GERANIUM_TRIES",
        hide_env_values = true,
        default_value_t = 5
    )]
    pub tries: u32,
    /// Format of the output.
    #[arg(
        long,
        global = true,
        env = "GERANIUM_OUTPUT",
        hide_env_values = true,
        value_enum,
        default_value = "text"
    )]
    pub output: OutputFormat,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Preset given by its name in the store or by a file.
///
/// A text that contains a `/` or ends with `.json` means a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PresetSource {
    /// Name of a preset in the store.
    Named(PresetName),
    /// Path of a file that holds a document.
    File(PathBuf),
}

impl std::str::FromStr for PresetSource {
    type Err = PresetNameError;

    fn from_str(text: &str) -> Result<Self, PresetNameError> {
        let path = Path::new(text);
        let is_json = path.extension().is_some_and(|ending| ending == "json");
        if is_json || text.contains('/') {
            return Ok(Self::File(path.into()));
        }
        text.parse().map(Self::Named)
    }
}

/// Command of the client.
#[derive(Debug, Clone, Subcommand)]
pub enum Command {
    /// Check a preset document without storing it.
    Check {
        /// File that holds the document.
        file: PathBuf,
    },
    /// Check a document and store it under a name, without putting it in force.
    Put {
        /// Name of the preset.
        name: PresetName,
        /// File that holds the document.
        file: PathBuf,
    },
    /// List the named presets.
    List,
    /// Show a preset's record and document.
    Show {
        /// Name of the preset.
        name: PresetName,
    },
    /// Compare two presets, by service and route and in the limits.
    #[command(after_help = DIFF_EXAMPLES)]
    Diff {
        /// Name of a preset, or a file (contains a `/` or ends with `.json`).
        from: PresetSource,
        /// Name of a preset, or a file, to compare with.
        to: PresetSource,
    },
    /// Put a preset in force on the whole fleet.
    Activate {
        /// Name of the preset.
        name: PresetName,
        /// Activate only if this version is in force now.
        #[arg(long, value_parser = parse_version)]
        expect_version: Option<ConfigVersion>,
    },
    /// List past activations, newest last.
    History {
        /// Number of activations to list; the store keeps the last 256.
        #[arg(long, default_value_t = 20)]
        last: usize,
    },
    /// Show how many nodes use the version in force, and which don't.
    Status,
    /// Show client accounts, and add and revoke their keys.
    #[command(subcommand, after_help = ACCOUNT_EXAMPLES)]
    Account(AccountCommand),
    /// Show what happened to a request, from the nodes' logs.
    #[command(after_help = EXPLAIN_EXAMPLES)]
    Explain {
        /// Identifier of the caller's attempt, as the log lines have it.
        request: String,
        /// Log files of any nodes; none, or `-`, means standard input.
        files: Vec<PathBuf>,
    },
}

/// Command about client accounts.
#[derive(Debug, Clone, Subcommand)]
pub enum AccountCommand {
    /// List the accounts, with the fingerprints of their keys.
    List,
    /// Add a key to an account; its other keys stay valid.
    AddKey {
        /// Name of the account.
        account: String,
        /// File that holds the key on one line; none, or `-`, means standard input.
        #[arg(long)]
        key_file: Option<PathBuf>,
        /// Seconds to wait until every node applies the change.
        #[arg(long, default_value_t = 30)]
        wait_s: u64,
    },
    /// Revoke a key of an account, and wait until no node accepts it.
    RevokeKey {
        /// Name of the account.
        account: String,
        /// Fingerprint of the key, as `account list` shows it.
        #[arg(required_unless_present = "key_file", conflicts_with = "key_file")]
        fingerprint: Option<String>,
        /// File that holds the key itself, instead of the fingerprint; `-` means standard input.
        #[arg(long)]
        key_file: Option<PathBuf>,
        /// Seconds to wait until every node applies the change.
        #[arg(long, default_value_t = 30)]
        wait_s: u64,
    },
}

fn parse_version(text: &str) -> Result<ConfigVersion, std::num::ParseIntError> {
    text.parse().map(ConfigVersion)
}
