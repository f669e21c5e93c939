//! A machine of the platform, as described by a node's settings file.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

/// Number of machines made in this process, from which each gets its own IP
/// address.
static MACHINE_COUNT: AtomicU32 = AtomicU32::new(0);

/// Addresses of one machine's listeners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineAddrs {
    /// Address on which the node listens for other nodes.
    pub peer_addr: SocketAddr,
    /// Address on which the node listens for callers.
    pub callers: SocketAddr,
    /// Address on which the node listens for readiness checks.
    pub readiness: SocketAddr,
    /// Address on which the node listens for heartbeats and deregistrations.
    pub admin: SocketAddr,
    /// Address on which the node listens for metrics requests.
    pub metrics: SocketAddr,
    /// Address on which the backend server listens.
    pub endpoint: SocketAddr,
}

/// A machine with a node and a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Addresses of the machine's listeners.
    pub addrs: MachineAddrs,
    /// Address at which the node reaches the backend server. It differs from the
    /// server's own if a link proxy is in between.
    pub app_addr: SocketAddr,
    /// Data centre of the machine.
    pub data_centre: String,
    /// Service that the backend server runs.
    pub service: String,
    /// Address of the metadata store.
    pub store: SocketAddr,
    /// Bandwidth of the machine's link, in megabits per second.
    pub link_mbps: f64,
    /// Whether the whole fleet starts for the first time (`Bootstrap`).
    pub first_start: bool,
    /// Whether operators order rollouts (a contract of the platform).
    pub has_rollouts: bool,
    /// Seconds after which a revoked key must not work any more, where revocations fail closed; none
    /// where there are no client accounts.
    pub revoke_s: Option<f64>,
}

/// Limits of each process on a machine. They aren't fields of [`Machine`], whose literals programs
/// outside the workspace write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory, in megabytes.
    pub memory_mb: u32,
    /// Number of descriptors that may be open.
    pub max_fds: u32,
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self {
            memory_mb: 260,
            max_fds: 4_100,
        }
    }
}

impl Machine {
    /// Returns the name of the instance: `sidecar-` and its IP address.
    pub fn name(&self) -> String {
        format!("sidecar-{}", self.addrs.peer_addr.ip())
    }

    /// Returns the text of the node's settings file, with the default limits.
    pub fn settings_text(&self) -> String {
        self.settings_text_within(MachineLimits::default())
    }

    /// Returns the text of the node's settings file, with the given limits.
    pub fn settings_text_within(&self, limits: MachineLimits) -> String {
        let MachineAddrs {
            peer_addr,
            callers,
            readiness,
            admin,
            ..
        } = self.addrs;
        let (name, ip) = (self.name(), peer_addr.ip());
        let (zone, service, store) = (&self.data_centre, &self.service, self.store);
        let (app, link_mbps) = (self.app_addr, self.link_mbps);
        let MachineLimits { memory_mb, max_fds } = limits;
        let first_start = self.first_start;
        let mut contracts = vec!["base"];
        if self.has_rollouts {
            contracts.push("rollout");
        }
        if self.revoke_s.is_some() {
            contracts.push("tenants");
        }
        let bounds = self
            .revoke_s
            .map(|revoke_s| format!("FailClosed = true\nRevokeS = {revoke_s:?}\n"))
            .unwrap_or_default();
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
MemoryMb = {memory_mb}
MaxFds = {max_fds}
LinkMbps = {link_mbps:?}
[Network.Listen]
Inbound = "{peer_addr}"
Outbound = "{callers}"
Readiness = "{readiness}"
Admin = "{admin}"
[Provider]
HeartbeatS = 1.5
[Provider.Provider]
Address = "{store}"
form = "kv"
[Terms]
Contracts = {contracts:?}
[Terms.Bounds]
DrainS = 2
GraceS = 6
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 62
{bounds}"#
        )
    }
}

impl MachineAddrs {
    /// Returns addresses that no other machine of a running test has. The loopback
    /// range is wide enough for an IP address per machine, and the ports are below the
    /// range of outgoing connections.
    pub fn free() -> Self {
        loop {
            let addrs = Self::of_number(MACHINE_COUNT.fetch_add(1, Ordering::Relaxed));
            if addrs.are_unused() {
                return addrs;
            }
        }
    }

    fn of_number(number: u32) -> Self {
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
            admin: addr(7604),
            endpoint: addr(7605),
            metrics: addr(7606),
        }
    }

    /// Returns whether nothing listens on these addresses: numbers come again after 500 machines.
    fn are_unused(&self) -> bool {
        let addrs = [
            self.peer_addr,
            self.callers,
            self.readiness,
            self.admin,
            self.endpoint,
            self.metrics,
        ];
        addrs.iter().all(|addr| TcpListener::bind(addr).is_ok())
    }

    /// Returns an address with another port on the same machine.
    pub fn with_port(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.peer_addr.ip(), port)
    }
}
