//! Links to every node that this one has sent requests to.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use super::{LinkError, PeerLink};

/// Opens links on first use and drops those of nodes that are gone.
#[derive(Debug, Default)]
pub struct LinkPool {
    links: Mutex<HashMap<SocketAddr, Arc<PeerLink>>>,
}

impl LinkPool {
    /// Returns the link to `addr`, opened on first use.
    ///
    /// # Errors
    ///
    /// [`LinkError::NotSent`] when no socket can be made.
    pub fn link(&self, addr: SocketAddr) -> Result<Arc<PeerLink>, LinkError> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(&addr) {
            return Ok(Arc::clone(link));
        }
        let link = Arc::new(PeerLink::dial(addr).map_err(|_error| LinkError::NotSent)?);
        links.insert(addr, Arc::clone(&link));
        Ok(link)
    }

    /// Drops the link to a node that is gone.
    pub fn forget(&self, addr: SocketAddr) {
        self.links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&addr);
    }
}
