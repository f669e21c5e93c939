//! Why a node can't run.

use std::net::SocketAddr;

use geranium_model::ResultCode;
use snafu::Snafu;

use crate::settings::SettingsError;

/// A node that didn't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// Its settings are bad.
    #[snafu(transparent)]
    Settings {
        /// Every fault.
        source: SettingsError,
    },
    /// An address can't be listened on.
    #[snafu(display("[{}] {port} {addr}: {reason}", ResultCode::CannotListen.number()))]
    Listen {
        /// Port that was meant.
        port: &'static str,
        /// Its address.
        addr: SocketAddr,
        /// What the system said.
        reason: String,
    },
    /// The platform's addresses can't be used.
    #[snafu(display("[{}] --platform: {reason}", ResultCode::BadSetting.number()))]
    Platform {
        /// What is wrong with them.
        reason: String,
    },
    /// A thread or the metrics can't be set up.
    #[snafu(display("cannot set up {part}: {reason}"))]
    Setup {
        /// Part that was meant.
        part: &'static str,
        /// What the system said.
        reason: String,
    },
}
