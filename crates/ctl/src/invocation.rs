//! The command line.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use clap::{Parser, Subcommand};
use geranium_node::config::ConfigVersion;

use crate::{OutputFormat, PresetName, PresetNameError};

const EXAMPLES: &str = "\
Examples:
  geranium-ctl check peak.json
  geranium-ctl put peak peak.json
  geranium-ctl diff ordinary-day peak
  geranium-ctl activate peak
  geranium-ctl activate ordinary-day --expect-version 41
  geranium-ctl status
  geranium-ctl --output json history

Exit status: 0 when it worked, 2 for a bad command line, otherwise the first
and the last digit of the result code in the message (303 ends with 33).";

const DIFF_EXAMPLES: &str = "\
Examples:
  geranium-ctl diff ordinary-day peak
  geranium-ctl diff peak ./edited/peak.json";

const EXPLAIN_EXAMPLES: &str = "\
Examples:
  geranium-ctl explain 9c41d07be2a35f68 /var/log/geranium/*.log
  geranium-ctl --output json explain 9c41d07be2a35f68 < all.log";

/// Presets, activations and the fleet's state, for operators.
#[derive(Debug, Clone, Parser)]
#[command(name = "geranium-ctl", version, after_help = EXAMPLES, max_term_width = 100)]
pub struct Invocation {
    /// The metadata store, IP:PORT.
    #[arg(long, global = true, env = "GERANIUM_STORE", hide_env_values = true)]
    pub store: Option<SocketAddr>,
    /// Pages of one or more nodes, IP:PORT, for `status` while the store is
    /// away.
    #[arg(
        long,
        global = true,
        env = "GERANIUM_NODES",
        value_delimiter = ',',
        hide_env_values = true
    )]
    pub node: Vec<SocketAddr>,
    /// Port of the nodes' status pages, on each node's own address.
    #[arg(
        long,
        global = true,
        env = "GERANIUM_METRICS_PORT",
        hide_env_values = true,
        default_value_t = 9464
    )]
    pub status_port: u16,
    /// Name under which writes are recorded.
    #[arg(long, global = true, env = "GERANIUM_OPERATOR", hide_env_values = true)]
    pub operator: Option<String>,
    /// Tries for a write whose answer was lost; five span 6 s of pauses.
    #[arg(
        long,
        global = true,
        env = "GERANIUM_TRIES",
        hide_env_values = true,
        default_value_t = 5
    )]
    pub tries: u32,
    /// Form of the output.
    #[arg(
        long,
        global = true,
        env = "GERANIUM_OUTPUT",
        hide_env_values = true,
        value_enum,
        default_value = "text"
    )]
    pub output: OutputFormat,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// A preset's name in the store, or a file: what holds a `/` or ends with
/// `.json` is a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PresetSource {
    /// Named preset.
    Named(PresetName),
    /// Document in a file.
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

/// What the client does.
#[derive(Debug, Clone, Subcommand)]
pub enum Command {
    /// Check a preset document without storing it.
    Check {
        /// The document.
        file: PathBuf,
    },
    /// Check a document and store it under a name; it isn't put in force.
    Put {
        /// Name of the preset.
        name: PresetName,
        /// The document.
        file: PathBuf,
    },
    /// List the named presets.
    List,
    /// Show a preset's record and document.
    Show {
        /// Name of the preset.
        name: PresetName,
    },
    /// Compare two presets, by service and route.
    #[command(after_help = DIFF_EXAMPLES)]
    Diff {
        /// Name, or file (holds a `/` or ends with `.json`).
        from: PresetSource,
        /// Name, or file.
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
        /// How many, 256 at most.
        #[arg(long, default_value_t = 20)]
        last: usize,
    },
    /// Show how many nodes follow the version in force, and which don't.
    Status,
    /// Tell what became of a request, out of the nodes' logs.
    #[command(after_help = EXPLAIN_EXAMPLES)]
    Explain {
        /// Identifier of the caller's attempt.
        request: String,
        /// Log files of any nodes; none, or `-`, for standard input.
        files: Vec<PathBuf>,
    },
}

fn parse_version(text: &str) -> Result<ConfigVersion, std::num::ParseIntError> {
    text.parse().map(ConfigVersion)
}
