//! Command line of the stand-in.

use std::{net::SocketAddr, path::PathBuf};

use clap::Parser;

/// Stand-in for a user's backend server.
#[derive(Debug, Clone, Parser)]
#[command(name = "geranium-standin-backend", version)]
pub struct BackendOptions {
    /// Address to listen on; port 0 takes a free one.
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Admin address of the node beside it, which is told once a second.
    #[arg(long)]
    pub announce_to: Option<SocketAddr>,
    /// Service it gives.
    #[arg(long)]
    pub service: String,
    /// Name of the instance.
    #[arg(long)]
    pub instance: String,
    /// Requests it runs at a time.
    #[arg(long, default_value_t = 12)]
    pub slots: u16,
    /// Connections that it announces it can hold.
    #[arg(long, default_value_t = 130)]
    pub connections: u16,
    /// Milliseconds during which it starts up and works more slowly.
    #[arg(long, default_value_t = 0)]
    pub cold_start_ms: u64,
    /// Milliseconds that a request takes unless it says otherwise.
    #[arg(long, default_value_t = 2)]
    pub service_ms: u64,
    /// Directory for a journal that survives a crash.
    #[arg(long)]
    pub journal_dir: Option<PathBuf>,
}
