//! Record in the store of a shard's owner.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::store::StoreEra;

/// Random identifier of a process, by which it tells its own records from its predecessor's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProcessId(pub u64);

/// Record in the store of a shard's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Address at which other nodes reach the owner.
    pub at: SocketAddr,
    /// Process that owns the shard.
    pub process: ProcessId,
    /// Era of the store in which the record was written.
    pub era: StoreEra,
    /// Whether no owner of an earlier era could grant tokens any more when it was written.
    pub settled: bool,
}
