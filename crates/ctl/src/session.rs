//! What the commands act on.

use std::net::SocketAddr;

use geranium_platform::{GatewaySettings, GatewayStore, PlatformStore};
use snafu::OptionExt;

use crate::{
    CtlError, Invocation, Patience, WriteStamp,
    ctl_error::{NoOperatorSnafu, NoPlatformSnafu},
};

/// Everything that commands need besides their own arguments.
#[derive(Debug)]
pub struct Session {
    store: Option<Box<dyn PlatformStore>>,
    operator: Option<String>,
    nodes: Vec<SocketAddr>,
    patience: Patience,
}

impl Session {
    /// Makes a session on `store`, for tests and programs.
    pub fn new(
        store: Option<Box<dyn PlatformStore>>,
        operator: Option<String>,
        nodes: Vec<SocketAddr>,
        patience: Patience,
    ) -> Self {
        Self {
            store,
            operator,
            nodes,
            patience,
        }
    }

    /// Returns the platform's store.
    ///
    /// # Errors
    ///
    /// [`CtlError::NoPlatform`] when no endpoint was given.
    pub fn store(&self) -> Result<&dyn PlatformStore, CtlError> {
        self.store.as_deref().context(NoPlatformSnafu)
    }

    /// Returns the nodes' admin addresses.
    pub fn nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }

    /// Returns how long writes are pursued.
    pub const fn patience(&self) -> Patience {
        self.patience
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

impl TryFrom<&Invocation> for Session {
    type Error = CtlError;

    fn try_from(invocation: &Invocation) -> Result<Self, CtlError> {
        let endpoints = invocation.platform.clone();
        let store = if endpoints.is_empty() {
            None
        } else {
            let store = GatewayStore::try_from(GatewaySettings::new(endpoints))?;
            Some(Box::new(store) as Box<dyn PlatformStore>)
        };
        Ok(Self {
            store,
            operator: invocation.operator.clone(),
            nodes: invocation.node.clone(),
            patience: Patience::new(invocation.tries),
        })
    }
}
