//! What the node should do after the core has decided.

use std::{net::SocketAddr, sync::Arc};

use geranium_model::{
    CrashRow, InForce, InstanceName, MemberRow, Preset, PresetVersion, ResultCode,
};

use crate::{ControlMessage, PlatformCall};

/// One thing to do, in the order given.
#[derive(Debug, Clone)]
pub enum FleetAction {
    /// Send a message; losing it is allowed.
    Send {
        /// Receiver; a name made of the address while its name isn't known.
        to: InstanceName,
        /// Its control address.
        addr: SocketAddr,
        /// The message.
        message: ControlMessage,
    },
    /// Make a platform call and report its outcome.
    Platform(PlatformCall),
    /// Route by another preset from now on.
    ConfigChanged {
        /// The new version.
        in_force: InForce,
        /// Its checked content.
        preset: Arc<Preset>,
    },
    /// A member's row changed.
    MemberChanged(MemberRow),
    /// A member left or failed.
    MemberGone(InstanceName),
    /// A backend server broke under a request.
    CrashHeard(CrashRow),
    /// A version was refused; the former stays in force.
    ConfigRefused {
        /// The refused version.
        version: PresetVersion,
        /// Why, for operators.
        code: ResultCode,
        /// Why, in words.
        reason: String,
    },
}
