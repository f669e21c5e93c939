//! A machine of the platform, as a node's settings describe it.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU32, Ordering},
};

/// Makes each machine's address differ from those of every other test.
static MACHINES: AtomicU32 = AtomicU32::new(0);

/// Addresses of one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineAddrs {
    /// The node's port for other nodes.
    pub peer_addr: SocketAddr,
    /// The node's port for callers.
    pub callers: SocketAddr,
    /// The node's port for readiness checks.
    pub readiness: SocketAddr,
    /// The node's port for heartbeats.
    pub reports: SocketAddr,
    /// The node's port for metrics.
    pub metrics: SocketAddr,
    /// The backend server.
    pub endpoint: SocketAddr,
}

/// A machine of the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Its addresses.
    pub addrs: MachineAddrs,
    /// Address at which the node reaches the backend server, which a link in
    /// between may make differ from the server's own.
    pub app_addr: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Service of its backend server.
    pub service: String,
    /// Address of the metadata store.
    pub store: SocketAddr,
    /// Megabits a second of its link.
    pub link_mbps: f64,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
}

impl Machine {
    /// Returns its name.
    pub fn name(&self) -> String {
        format!("sidecar-{}", self.addrs.peer_addr.ip())
    }

    /// Returns the settings file as the platform writes it.
    pub fn settings_text(&self) -> String {
        let MachineAddrs {
            peer_addr,
            callers,
            readiness,
            reports,
            ..
        } = self.addrs;
        let (name, ip) = (self.name(), peer_addr.ip());
        let (zone, service, store) = (&self.data_centre, &self.service, self.store);
        let (app, link_mbps) = (self.app_addr, self.link_mbps);
        let first_start = self.first_start;
        format!(
            r#"[LocalNode]
Node = "{name}"
Role = "node"
Ip = "{ip}"
Zone = "{zone}"
AppAddr = "{app}"
Service = "{service}"
Bootstrap = {first_start}
[LocalNode.Limits]
LinkMbps = {link_mbps:?}
[Network.Listen]
Inbound = "{peer_addr}"
Outbound = "{callers}"
Readiness = "{readiness}"
Admin = "{reports}"
[Provider]
HeartbeatS = 1.5
[Provider.Provider]
Address = "{store}"
form = "kv"
[Terms.Bounds]
DrainS = 2
GraceS = 6
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 62
"#
        )
    }
}

impl MachineAddrs {
    /// Makes addresses that no other machine of any running test has: the
    /// loopback range is wide, and the ports are below those that outgoing
    /// connections use.
    pub fn free() -> Self {
        let number = MACHINES.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let ip = Ipv4Addr::new(
            127,
            10 + (process % 100) as u8 + 100 * (number / 250 % 2) as u8,
            (process / 100 % 250) as u8,
            1 + (number % 250) as u8,
        );
        let addr = |port: u16| SocketAddr::from((ip, port));
        Self {
            peer_addr: addr(7601),
            callers: addr(7602),
            readiness: addr(7603),
            reports: addr(7604),
            endpoint: addr(7605),
            metrics: addr(7606),
        }
    }

    /// Returns another address on the same machine.
    pub fn other(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.peer_addr.ip(), port)
    }
}
