//! The command line.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Parser, Subcommand};

use crate::{OutputFormat, WindowLength};

const EXAMPLES: &str = "\
Examples:
  geranium-burn --node 10.0.1.7:9464 once --over 60
  geranium-burn --node 10.0.1.7:9464 --samples burn.jsonl once
  geranium-burn --node 10.0.1.7:9464,10.0.2.7:9464 watch --for 3600 --every 15
  geranium-burn --objectives ours.json --output json --picture burn.svg once

Exit status: 0 for a whole report, 54 for one that lacks counts of some nodes
(it names them), 2 for a bad command line; without a report the first and the
last digit of the result code in the message (501 ends with 51).";

/// Service-level burn from the nodes' metrics, for operators.
#[derive(Debug, Clone, Parser)]
#[command(name = "geranium-burn", version, after_help = EXAMPLES, max_term_width = 100)]
pub struct Invocation {
    /// Addresses of the pages of one or more nodes, IP:PORT; one of them tells
    /// the rest of the fleet, whose pages are on the same port.
    #[arg(
        long,
        global = true,
        env = "GERANIUM_NODES",
        value_delimiter = ',',
        hide_env_values = true
    )]
    pub node: Vec<SocketAddr>,
    /// File with an objective for each service; when absent, 0.999 of the
    /// answers are promised to be good and 0.99 of those within 250 ms.
    #[arg(
        long,
        global = true,
        env = "GERANIUM_OBJECTIVES",
        hide_env_values = true
    )]
    pub objectives: Option<PathBuf>,
    /// File that samples are read from and appended to.
    #[arg(long, global = true, env = "GERANIUM_SAMPLES", hide_env_values = true)]
    pub samples: Option<PathBuf>,
    /// Seconds between samples that are appended; the last is always.
    #[arg(
        long,
        global = true,
        env = "GERANIUM_KEEP_EVERY",
        hide_env_values = true,
        default_value_t = 300
    )]
    pub keep_every: u64,
    /// Budget window; slow and fast windows keep their proportion to it.
    #[arg(
        long,
        global = true,
        env = "GERANIUM_WINDOW",
        hide_env_values = true,
        default_value = "30d"
    )]
    pub window: WindowLength,
    /// File that the picture (SVG) is written to.
    #[arg(long, global = true, env = "GERANIUM_PICTURE", hide_env_values = true)]
    pub picture: Option<PathBuf>,
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

/// How samples are taken.
#[derive(Debug, Clone, Copy, Subcommand)]
pub enum Command {
    /// Take two samples and report.
    Once {
        /// Seconds between them.
        #[arg(
            long,
            env = "GERANIUM_OVER",
            hide_env_values = true,
            default_value_t = 10
        )]
        over: u64,
    },
    /// Take samples for a time and report after each.
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
        /// Seconds for which to go on.
        #[arg(
            long = "for",
            env = "GERANIUM_FOR",
            hide_env_values = true,
            default_value_t = 3_600
        )]
        seconds: u64,
    },
}
