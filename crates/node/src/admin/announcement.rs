//! What a backend server says of itself to its node.

use std::net::{AddrParseError, SocketAddr};

use geranium_model::{NameError, ServiceName};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

/// An announcement as it arrives.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RawAnnouncement {
    /// Service that it gives.
    pub service: String,
    /// Where it listens.
    pub address: String,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// Connections that it takes.
    #[serde(default)]
    pub connections: u32,
    /// Number that differs between two starts of it.
    #[serde(default)]
    pub announced: u64,
    /// It takes no new work.
    #[serde(default)]
    pub draining: bool,
}

/// A checked announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Service that it gives.
    pub service: ServiceName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// Number that differs between two starts of it.
    pub announced: u64,
    /// It takes no new work.
    pub draining: bool,
}

/// An announcement that was refused.
#[derive(Debug, Snafu)]
pub enum AnnouncementError {
    /// The service's name breaks the naming rule.
    #[snafu(display("service: {source}"))]
    Service {
        /// What is wrong with it.
        source: NameError,
    },
    /// The address isn't an IP address and a port.
    #[snafu(display("address `{text}`: {source}"))]
    Address {
        /// The refused text.
        text: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// A backend server without slots could never run anything.
    #[snafu(display("slots: must be above 0"))]
    NoSlots,
}

impl TryFrom<RawAnnouncement> for Announcement {
    type Error = AnnouncementError;

    fn try_from(raw: RawAnnouncement) -> Result<Self, AnnouncementError> {
        ensure!(raw.slots > 0, NoSlotsSnafu);
        Ok(Self {
            service: raw.service.parse().context(ServiceSnafu)?,
            addr: raw
                .address
                .parse()
                .context(AddressSnafu { text: &raw.address })?,
            slots: raw.slots,
            announced: raw.announced,
            draining: raw.draining,
        })
    }
}
