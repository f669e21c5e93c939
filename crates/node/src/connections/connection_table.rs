//! Decides which connections stay open.

use slab::Slab;

use super::ConnectionKey;

/// Stage of an open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionStage {
    /// No request of it is unanswered, from this step of the table on.
    Idle(u64),
    /// A request of it is unanswered.
    Busy,
    /// It was told to close.
    Closing,
}

/// Decision about a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// There is room for the connection.
    Accepted(ConnectionKey),
    /// The connection takes the place of an idle one, which is to be closed.
    InPlaceOf {
        /// Key of the new connection.
        key: ConnectionKey,
        /// Key of the connection that is to be closed.
        idle: ConnectionKey,
    },
    /// All connections are busy.
    Full,
}

/// Decides which connections stay open.
///
/// **Load.** Clients open more connections than the process has descriptors for, and keep them open.
/// Without a bound, the node couldn't open connections to backend servers, other nodes and the store.
///
/// Above the bound, the connection that has been idle for the longest time closes for a new one.
/// Callers expect that of idle connections, and send again what crosses the close.
///
/// # Examples
///
/// ```
/// use geranium_node::connections::{Admission, ConnectionTable};
///
/// let mut table = ConnectionTable::new(1);
/// let Admission::Accepted(first) = table.admit() else {
///     panic!("there is room");
/// };
/// table.set_busy(first);
/// assert_eq!(table.admit(), Admission::Full);
/// table.set_idle(first);
/// assert!(matches!(table.admit(), Admission::InPlaceOf { idle, .. } if idle == first));
/// ```
#[derive(Debug)]
pub struct ConnectionTable {
    max_open: usize,
    connections: Slab<ConnectionStage>,
    closing: usize,
    steps: u64,
}

impl ConnectionTable {
    /// Creates a table for at most `max_open` connections.
    pub const fn new(max_open: usize) -> Self {
        Self {
            max_open,
            connections: Slab::new(),
            closing: 0,
            steps: 0,
        }
    }

    /// Decides about a new connection, which is idle at first.
    pub fn admit(&mut self) -> Admission {
        if self.connections.len() - self.closing < self.max_open {
            return Admission::Accepted(self.insert());
        }
        let Some(idle) = self.longest_idle() else {
            return Admission::Full;
        };
        self.connections[idle.0] = ConnectionStage::Closing;
        self.closing += 1;
        let key = self.insert();
        Admission::InPlaceOf { key, idle }
    }

    /// Accepts a connection above the bound, for which a busy one is about to close.
    pub fn insert(&mut self) -> ConnectionKey {
        self.steps += 1;
        ConnectionKey(self.connections.insert(ConnectionStage::Idle(self.steps)))
    }

    /// Records that a request of a connection has begun.
    pub fn set_busy(&mut self, key: ConnectionKey) {
        self.set(key, ConnectionStage::Busy);
    }

    /// Records that all requests of a connection are answered.
    pub fn set_idle(&mut self, key: ConnectionKey) {
        self.steps += 1;
        self.set(key, ConnectionStage::Idle(self.steps));
    }

    /// Forgets a connection that has closed.
    pub fn remove(&mut self, key: ConnectionKey) {
        if self.connections.remove(key.0) == ConnectionStage::Closing {
            self.closing -= 1;
        }
    }

    fn set(&mut self, key: ConnectionKey, stage: ConnectionStage) {
        let known = &mut self.connections[key.0];
        if *known != ConnectionStage::Closing {
            *known = stage;
        }
    }

    fn longest_idle(&self) -> Option<ConnectionKey> {
        let idle = self.connections.iter().filter_map(|(key, stage)| {
            let ConnectionStage::Idle(since) = stage else {
                return None;
            };
            Some((since, key))
        });
        idle.min().map(|(_, key)| ConnectionKey(key))
    }
}
