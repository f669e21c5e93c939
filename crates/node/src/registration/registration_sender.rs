//! Sends registration calls to a registrar.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use snafu::Snafu;

use super::{REGISTRATION_PATH, RegistrationCall, RegistrationChange, RegistrationReply};
use crate::{
    node_core::NodeCore,
    transport::{PeerCall, PeerCallError},
};

/// Timeout of a call that changes nothing. A lease lasts for six seconds, and a member whose
/// registrar is silent needs time to move.
const KEEP_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a change. The call to the store itself takes one second at most.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Failure of a registration call.
#[derive(Debug, Snafu)]
pub(crate) enum SendError {
    /// The call to the registrar failed.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// Failure of the call.
        source: PeerCallError,
    },
    /// The call can't be encoded, or the reply can't be decoded.
    #[snafu(display("{source}"), context(false))]
    Json {
        /// Failure of the JSON encoder or decoder.
        source: serde_json::Error,
    },
}

impl SendError {
    /// Returns whether the node doesn't know registration calls.
    pub(crate) const fn is_unsupported(&self) -> bool {
        matches!(
            self,
            Self::Call {
                source: PeerCallError::Refused { .. }
            }
        )
    }
}

/// Sends a call to the registrar at `peer_addr`.
pub(crate) async fn send_registration(
    core: &NodeCore,
    peer_addr: SocketAddr,
    call: &RegistrationCall,
) -> Result<RegistrationReply, SendError> {
    let timeout = match call.change {
        RegistrationChange::Keep => KEEP_TIMEOUT,
        RegistrationChange::Write { .. } | RegistrationChange::Remove => CHANGE_TIMEOUT,
    };
    let peer_call = PeerCall {
        method: Method::POST,
        path: REGISTRATION_PATH,
        body: serde_json::to_vec(call)?.into(),
        timeout,
    };
    let idle_timeout = core.settings.peer_idle_timeout;
    let response_body = peer_call
        .send(&core.peer_connections, peer_addr, idle_timeout)
        .await?;
    Ok(serde_json::from_slice(&response_body)?)
}
