//! Checked settings of a node.

use std::{collections::HashSet, fmt::Display, net::SocketAddr, str::FromStr, time::Duration};

use geranium_model::{DataCentre, InstanceName, RegionName, ResultCode};
use strum::EnumString;

use super::{RawSettings, SettingFault, SettingsError};

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Settings that passed every check.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Region that holds the data centre.
    pub region: RegionName,
    /// Callers' port.
    pub listen: SocketAddr,
    /// Admin port.
    pub admin: SocketAddr,
    /// Port for control messages.
    pub control: SocketAddr,
    /// Port for other nodes' requests.
    pub data: SocketAddr,
    /// Base addresses of the platform.
    pub platform: Vec<String>,
    /// Control addresses of seeds.
    pub seeds: Vec<SocketAddr>,
    /// Every data centre of the fleet, as far as they are named.
    pub data_centres: Vec<DataCentre>,
    /// Nodes expected in the fleet.
    pub fleet_size: u32,
    /// Most callers' connections.
    pub connections_max: usize,
    /// Largest head in bytes.
    pub head_bytes_max: usize,
    /// Largest request body in bytes.
    pub body_bytes_max: usize,
    /// Time for a head, and then for a body, to arrive.
    pub request_timeout: Duration,
    /// Time without progress after which a transfer is ended.
    pub stall_timeout: Duration,
    /// Time for requests in flight to end after a termination signal.
    pub drain_timeout: Duration,
    /// Time for callers to learn that this node leaves.
    pub drain_linger: Duration,
    /// Time for which a started backend server counts as cold.
    pub warming: Duration,
    /// Log format.
    pub log_format: LogFormat,
    /// Log level.
    pub log_level: slog::Level,
}

/// Smallest head limit: below it ordinary requests of browsers fail.
const HEAD_BYTES_MIN: u32 = 8_192;

impl TryFrom<RawSettings> for NodeSettings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingsError> {
        let mut check = SettingCheck::default();
        let instance = check.parsed::<InstanceName>("--instance", &raw.instance);
        let data_centre = check.parsed::<DataCentre>("--data-centre", &raw.data_centre);
        let region = check.parsed::<RegionName>("--region", &raw.region);
        let listen = check.parsed::<SocketAddr>("--listen", &raw.listen);
        let admin = check.parsed::<SocketAddr>("--admin", &raw.admin);
        let control = check.parsed::<SocketAddr>("--control", &raw.control);
        let data = check.parsed::<SocketAddr>("--data", &raw.data);
        let log_format = check.parsed::<LogFormat>("--log-format", &raw.log_format);
        let log_level = check.level(&raw.log_level);
        let seeds: Vec<SocketAddr> = raw
            .seed
            .iter()
            .filter_map(|text| check.parsed("--seed", text))
            .collect();
        let data_centres: Vec<DataCentre> = raw
            .data_centres
            .iter()
            .filter_map(|text| check.parsed("--data-centres", text))
            .collect();
        check.at_least("--fleet-size", raw.fleet_size, 1);
        check.at_least("--connections-max", raw.connections_max, 1);
        check.at_least("--head-bytes-max", raw.head_bytes_max, HEAD_BYTES_MIN);
        check.at_least("--request-timeout-s", raw.request_timeout_s, 1);
        check.at_least("--stall-timeout-s", raw.stall_timeout_s, 1);
        check.conflicts(&raw);
        check.finish()?;
        let checked = || {
            Some(Self {
                instance: instance?,
                data_centre: data_centre?,
                region: region?,
                listen: listen?,
                admin: admin?,
                control: control?,
                data: data?,
                platform: raw.platform,
                seeds,
                data_centres,
                fleet_size: raw.fleet_size,
                connections_max: raw.connections_max as usize,
                head_bytes_max: raw.head_bytes_max as usize,
                body_bytes_max: raw.body_bytes_max as usize,
                request_timeout: seconds(raw.request_timeout_s),
                stall_timeout: seconds(raw.stall_timeout_s),
                drain_timeout: seconds(raw.drain_timeout_s),
                drain_linger: Duration::from_millis(u64::from(raw.drain_linger_ms)),
                warming: seconds(raw.warming_s),
                log_format: log_format?,
                log_level: log_level?,
            })
        };
        Ok(checked().expect("without a fault every value is present"))
    }
}

fn seconds(count: u32) -> Duration {
    Duration::from_secs(u64::from(count))
}

/// Collects faults, so that one start shows them all.
#[derive(Debug, Default)]
struct SettingCheck {
    faults: Vec<SettingFault>,
}

impl SettingCheck {
    fn fault(&mut self, code: ResultCode, setting: &'static str, reason: impl Into<String>) {
        self.faults.push(SettingFault {
            code,
            setting,
            reason: reason.into(),
        });
    }

    fn parsed<T: FromStr<Err: Display>>(&mut self, setting: &'static str, text: &str) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(
                    ResultCode::BadSetting,
                    setting,
                    format!("`{text}`: {error}"),
                );
                None
            }
        }
    }

    fn level(&mut self, text: &str) -> Option<slog::Level> {
        let level = slog::Level::from_str(text).ok();
        if level.is_none() {
            self.fault(
                ResultCode::BadSetting,
                "--log-level",
                format!("`{text}` is no log level"),
            );
        }
        level
    }

    fn at_least(&mut self, setting: &'static str, value: u32, least: u32) {
        if value < least {
            self.fault(
                ResultCode::BadSetting,
                setting,
                format!("{value} is under {least}"),
            );
        }
    }

    fn conflicts(&mut self, raw: &RawSettings) {
        let addresses = [
            ("--listen", &raw.listen),
            ("--admin", &raw.admin),
            ("--control", &raw.control),
            ("--data", &raw.data),
        ];
        let mut seen = HashSet::new();
        for (setting, text) in addresses {
            let several_may = text.ends_with(":0");
            if !several_may && !seen.insert(text) {
                let reason = format!("`{text}` is given to two ports");
                self.fault(ResultCode::SettingsConflict, setting, reason);
            }
        }
        if raw.platform.is_empty() && raw.seed.is_empty() {
            let reason = "neither the platform nor a seed is given: no configuration could arrive";
            self.fault(ResultCode::SettingsConflict, "--platform", reason);
        }
        let linger_s = raw.drain_linger_ms.div_ceil(1_000);
        if linger_s > raw.drain_timeout_s {
            let reason = "lasts longer than --drain-timeout-s";
            self.fault(ResultCode::SettingsConflict, "--drain-linger-ms", reason);
        }
    }

    fn finish(self) -> Result<(), SettingsError> {
        if self.faults.is_empty() {
            Ok(())
        } else {
            Err(SettingsError {
                faults: self.faults,
            })
        }
    }
}
