//! Settings of the stand-in.

use std::net::SocketAddr;

use clap::Parser;

/// Stand-in for the platform's key-value service.
#[derive(Debug, Clone, Parser)]
#[command(name = "geranium-standin-platform", version)]
pub struct ServerSettings {
    /// Address to listen on; port 0 takes a free one. The first line printed
    /// is `listening IP:PORT`.
    #[arg(long, env = "GERANIUM_STANDIN_LISTEN", default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Reads a second above which status 429 is answered.
    #[arg(long)]
    pub reads_per_second: Option<u64>,
    /// Writes a second above which status 429 is answered.
    #[arg(long)]
    pub writes_per_second: Option<u64>,
}
