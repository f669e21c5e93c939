//! Picking of free ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use crate::RigError;

/// Ports below the range from which Linux takes ports for outgoing
/// connections: a port from that range could be taken by one of the fleet's
/// own connections before the process that is to listen on it starts.
const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 32_000;
/// Distance between the first ports tried by neighbouring process ids, so that
/// test processes that run side by side seldom try the same ones.
const PROCESS_STRIDE: u32 = 251;

/// Hands out ports on loopback that nothing listens on.
#[derive(Debug)]
pub struct FreePorts {
    next: u16,
}

impl FreePorts {
    /// Starts at a port that depends on the process id.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_rig::FreePorts;
    ///
    /// let mut ports = FreePorts::new();
    /// assert_ne!(ports.take()?, ports.take()?);
    /// # Ok::<(), geranium_rig::RigError>(())
    /// ```
    pub fn new() -> Self {
        let span = u32::from(LAST_PORT - FIRST_PORT);
        let offset = std::process::id().wrapping_mul(PROCESS_STRIDE) % span;
        Self {
            next: FIRST_PORT + offset as u16,
        }
    }

    /// Returns the next free port's address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port of the range is free.
    pub fn take(&mut self) -> Result<SocketAddr, RigError> {
        for _ in FIRST_PORT..LAST_PORT {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next = if self.next == LAST_PORT {
                FIRST_PORT
            } else {
                self.next + 1
            };
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
