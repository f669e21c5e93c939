//! Picking of free ports.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

use crate::RigError;

/// Ports below the range from which Linux takes ports for outgoing
/// connections: a port from that range could be taken by one of the fleet's
/// own connections before the process that is to listen on it starts.
const FIRST_PORT: u16 = 20_000;
const PORTS: u32 = 12_000;
/// Distance between the first ports tried by neighbouring process ids, so that
/// test processes that run side by side seldom try the same ones.
const PROCESS_STRIDE: u32 = 251;

/// Ports handed out so far in this process: tests that run side by side in it
/// must never be given the same port before a process listens on it.
static TAKEN: AtomicU32 = AtomicU32::new(0);

/// Hands out ports on loopback that nothing listens on.
///
/// No port is handed out twice within a process.
#[derive(Debug)]
pub struct FreePorts {
    offset: u32,
}

impl FreePorts {
    /// Starts at a port that depends on the process id.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_rig::FreePorts;
    ///
    /// let (mut ports, mut others) = (FreePorts::new(), FreePorts::new());
    /// assert_ne!(ports.take()?, others.take()?);
    /// # Ok::<(), geranium_rig::RigError>(())
    /// ```
    pub fn new() -> Self {
        Self {
            offset: std::process::id().wrapping_mul(PROCESS_STRIDE) % PORTS,
        }
    }

    /// Returns the next free port's address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port of the range is free.
    pub fn take(&mut self) -> Result<SocketAddr, RigError> {
        for _ in 0..PORTS {
            let number = self
                .offset
                .wrapping_add(TAKEN.fetch_add(1, Ordering::Relaxed));
            let port = FIRST_PORT + (number % PORTS) as u16;
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(RigError::NoPort)
    }
}

impl Default for FreePorts {
    fn default() -> Self {
        Self::new()
    }
}
