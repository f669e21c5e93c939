//! Command line of the program.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Parser, Subcommand};

use crate::{OutputFormat, WindowLength};

/// Examples and exit statuses, at the end of the program's help.
const EXAMPLES: &str = "\
Examples:
  geranium-burn --node 10.0.1.7:9464 once --over 60
  geranium-burn --node 10.0.1.7:9464 --samples burn.jsonl once
  geranium-burn --node 10.0.1.7:9464,10.0.2.7:9464 watch --for 3600 --every 15
  geranium-burn --objectives ours.json --output json --picture burn.svg once

Exit status: 0 for a complete report, 54 for a partial one, which lists the nodes
with missing counts, and 2 for an invalid command line. Without a report, the
first and the last digit of the result code in the message (51 for code 501).";

/// Service-level burn from the nodes' metrics, for operators.
#[derive(Debug, Clone, Parser)]
#[command(name = "geranium-burn", version, after_help = EXAMPLES, max_term_width = 100)]
pub struct Invocation {
    /// Admin addresses of one or more nodes, IP:PORT; the first that responds
    /// lists the other nodes, which must use the same admin port.
    #[arg(
        long,
        global = true,
        env = "GERANIUM_NODES",
        value_delimiter = ',',
        hide_env_values = true
    )]
    pub node: Vec<SocketAddr>,
    /// JSON file with an objective for each service; by default, 0.999 of the
    /// responses must be good and 0.99 of these within 250 ms.
    #[arg(
        long,
        global = true,
        env = "GERANIUM_OBJECTIVES",
        hide_env_values = true
    )]
    pub objectives: Option<PathBuf>,
    /// File from which earlier samples are read and to which new ones are appended.
    #[arg(long, global = true, env = "GERANIUM_SAMPLES", hide_env_values = true)]
    pub samples: Option<PathBuf>,
    /// Seconds between appended samples; the first and the last of a run are
    /// always appended.
    #[arg(
        long,
        global = true,
        env = "GERANIUM_KEEP_EVERY",
        hide_env_values = true,
        default_value_t = 300
    )]
    pub keep_every: u64,
    /// Length of the budget window; the windows of the alert rules scale with it.
    #[arg(
        long,
        global = true,
        env = "GERANIUM_WINDOW",
        hide_env_values = true,
        default_value = "30d"
    )]
    pub window: WindowLength,
    /// File to which the charts are written as SVG.
    #[arg(long, global = true, env = "GERANIUM_PICTURE", hide_env_values = true)]
    pub picture: Option<PathBuf>,
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
    /// Subcommand with its arguments.
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommand that determines how many samples are taken.
#[derive(Debug, Clone, Copy, Subcommand)]
pub enum Command {
    /// Take two samples and report.
    Once {
        /// Seconds between the two samples.
        #[arg(
            long,
            env = "GERANIUM_OVER",
            hide_env_values = true,
            default_value_t = 10
        )]
        over: u64,
    },
    /// Take samples for a while and report after each.
    Watch {
        /// Seconds between samples.
        #[arg(
            long,
            env = "GERANIUM_EVERY",
            hide_env_values = true,
            default_value_t = 10,
            value_parser = clap::value_parser!(u64).range(1..)
        )]
        every: u64,
        /// Seconds for which samples are taken.
        #[arg(
            long = "for",
            env = "GERANIUM_FOR",
            hide_env_values = true,
            default_value_t = 3_600
        )]
        seconds: u64,
    },
}
