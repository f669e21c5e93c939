//! What the commands act on.

use std::net::SocketAddr;

use snafu::OptionExt;

use crate::{
    ConfigCodec, CtlError, RetrySchedule, WriteStamp,
    ctl_error::{NoOperatorSnafu, NoStoreSnafu},
};

/// Everything that commands need besides their own arguments.
#[derive(Debug)]
pub struct Session<S> {
    /// Metadata store, if its address was given.
    pub store: Option<S>,
    /// How configurations are written there.
    pub codec: ConfigCodec,
    /// Operator, if one was named.
    pub operator: Option<String>,
    /// Pages of nodes that tell the rest of the fleet.
    pub nodes: Vec<SocketAddr>,
    /// Port of the nodes' status pages.
    pub status_port: u16,
    /// How long writes are pursued.
    pub retry_schedule: RetrySchedule,
}

impl<S> Session<S> {
    /// Returns the store.
    ///
    /// # Errors
    ///
    /// [`CtlError::NoStore`] when its address wasn't given.
    pub fn store(&self) -> Result<&S, CtlError> {
        self.store.as_ref().context(NoStoreSnafu)
    }

    /// Stamps a new write.
    ///
    /// # Errors
    ///
    /// [`CtlError::NoOperator`] when nobody is named.
    pub fn stamp(&self) -> Result<WriteStamp, CtlError> {
        let operator = self.operator.as_deref().filter(|name| !name.is_empty());
        operator.map(WriteStamp::now).context(NoOperatorSnafu)
    }
}
