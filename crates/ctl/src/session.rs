//! Settings that all commands share.

use std::net::SocketAddr;

use snafu::OptionExt;

use crate::{
    ConfigCodec, CtlError, RetrySchedule, WriteStamp,
    ctl_error::{NoOperatorSnafu, NoStoreSnafu},
};

/// Store, operator and settings that commands need besides their own arguments.
#[derive(Debug)]
pub struct Session<S> {
    /// Client of the metadata store; `None` if its address wasn't given.
    pub store: Option<S>,
    /// Key and encoding of the configuration in the store.
    pub codec: ConfigCodec,
    /// Name of the operator; `None` if it wasn't given.
    pub operator: Option<String>,
    /// Admin addresses of some nodes.
    ///
    /// These nodes name the others if the store can't be read.
    pub nodes: Vec<SocketAddr>,
    /// Port of the nodes' admin addresses; the IP address is that of each node.
    pub status_port: u16,
    /// Tries and pauses of writes that get no response or find the store busy.
    pub retry_schedule: RetrySchedule,
}

impl<S> Session<S> {
    /// Returns the client of the store.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::NoStore`] if the store's address wasn't given.
    pub fn store(&self) -> Result<&S, CtlError> {
        self.store.as_ref().context(NoStoreSnafu)
    }

    /// Returns the stamp of a new write by the operator.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::NoOperator`] if no operator's name was given.
    pub fn stamp(&self) -> Result<WriteStamp, CtlError> {
        let operator = self.operator.as_deref().filter(|name| !name.is_empty());
        operator.map(WriteStamp::now).context(NoOperatorSnafu)
    }
}
