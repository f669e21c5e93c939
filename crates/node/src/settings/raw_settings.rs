//! Settings as the command line and environment give them.

use clap::Parser;

/// Routes requests and follows configuration beside one backend server.
#[derive(Debug, Clone, Parser)]
#[command(name = "geranium-node", version)]
pub struct RawSettings {
    /// Name of this instance, unique in the fleet.
    #[arg(long, env = "GERANIUM_INSTANCE")]
    pub instance: String,
    /// Data centre in which this instance runs.
    #[arg(long, env = "GERANIUM_DATA_CENTRE")]
    pub data_centre: String,
    /// Region that holds the data centre.
    #[arg(long, env = "GERANIUM_REGION", default_value = "default")]
    pub region: String,
    /// Address for callers' HTTP requests.
    #[arg(long, env = "GERANIUM_LISTEN")]
    pub listen: String,
    /// Address for operators, metrics and the backend server's announcements.
    #[arg(long, env = "GERANIUM_ADMIN")]
    pub admin: String,
    /// Address for control messages from other nodes.
    #[arg(long, env = "GERANIUM_CONTROL")]
    pub control: String,
    /// Address for requests from other nodes.
    #[arg(long, env = "GERANIUM_DATA")]
    pub data: String,
    /// Base addresses of the platform's key-value service.
    #[arg(long, env = "GERANIUM_PLATFORM", value_delimiter = ',')]
    pub platform: Vec<String>,
    /// Control addresses of nodes through which to join without the platform.
    #[arg(long, env = "GERANIUM_SEEDS", value_delimiter = ',')]
    pub seed: Vec<String>,
    /// Every data centre of the fleet, so that a lone node can find the others.
    #[arg(long, env = "GERANIUM_DATA_CENTRES", value_delimiter = ',')]
    pub data_centres: Vec<String>,
    /// Nodes expected in the fleet; scales the share of platform calls.
    #[arg(long, env = "GERANIUM_FLEET_SIZE", default_value_t = 100)]
    pub fleet_size: u32,
    /// Most callers' connections open at a time.
    #[arg(long, env = "GERANIUM_CONNECTIONS_MAX", default_value_t = 512)]
    pub connections_max: u32,
    /// Largest request head in bytes.
    #[arg(long, env = "GERANIUM_HEAD_BYTES_MAX", default_value_t = 32_768)]
    pub head_bytes_max: u32,
    /// Largest request body in bytes.
    #[arg(long, env = "GERANIUM_BODY_BYTES_MAX", default_value_t = 4_194_304)]
    pub body_bytes_max: u32,
    /// Seconds in which a request's head, and then its body, must arrive.
    #[arg(long, env = "GERANIUM_REQUEST_TIMEOUT_S", default_value_t = 10)]
    pub request_timeout_s: u32,
    /// Seconds without progress after which an answer's transfer is ended.
    #[arg(long, env = "GERANIUM_STALL_TIMEOUT_S", default_value_t = 15)]
    pub stall_timeout_s: u32,
    /// Seconds after a termination signal in which requests may still end.
    #[arg(long, env = "GERANIUM_DRAIN_TIMEOUT_S", default_value_t = 120)]
    pub drain_timeout_s: u32,
    /// Milliseconds for which callers' port stays open after a termination
    /// signal, so that callers learn to go elsewhere.
    #[arg(long, env = "GERANIUM_DRAIN_LINGER_MS", default_value_t = 2_000)]
    pub drain_linger_ms: u32,
    /// Seconds after a start in which the backend server counts as cold.
    #[arg(long, env = "GERANIUM_WARMING_S", default_value_t = 3)]
    pub warming_s: u32,
    /// Log format: `text` or `json`.
    #[arg(long, env = "GERANIUM_LOG_FORMAT", default_value = "text")]
    pub log_format: String,
    /// Log level: `error`, `warning`, `info` or `debug`.
    #[arg(long, env = "GERANIUM_LOG_LEVEL", default_value = "info")]
    pub log_level: String,
}
