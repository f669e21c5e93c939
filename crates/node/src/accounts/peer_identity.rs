//! Decision of the second node whether and as whom a request of another node runs.

use std::rc::Rc;

use super::{AccountHeader, AccountHeaderError, AccountRule};
use crate::config::{ConfigVersion, MeshConfig};

/// What the second node knows about a request of another node.
#[derive(Debug, Clone, Copy)]
pub struct PeerIdentityQuery<'a> {
    /// Identity that the first node states; none if it states none.
    pub header: Result<Option<AccountHeader>, AccountHeaderError>,
    /// Version of the first node's configuration.
    pub sender_version: ConfigVersion,
    /// Host that the request names, in lower case; none if it names none.
    pub host: Option<&'a str>,
    /// Path of the request.
    pub path: &'a str,
    /// Whether the deployment has accounts, even if there is no configuration yet.
    pub expects_accounts: bool,
}

/// Whether and as whom a request of another node runs.
#[derive(Debug, Clone)]
pub enum PeerIdentity {
    /// It runs for this account; none for a request without an account.
    Known(Option<Rc<AccountRule>>),
    /// The first node has a newer configuration, by which the request may run.
    Behind,
    /// It doesn't run: its key was revoked, or its route needs one.
    Refused,
}

impl PeerIdentityQuery<'_> {
    /// Decides by the second node's own configuration.
    ///
    /// Nobody can act as an account without its key, as the proof can't be derived from what a
    /// configuration holds. A request without an identity runs on anonymous routes only.
    pub fn decide(&self, config: Option<&MeshConfig>) -> PeerIdentity {
        let version = config.map_or(ConfigVersion(0), |config| config.version);
        let is_behind = self.sender_version > version;
        let unknown = if is_behind {
            PeerIdentity::Behind
        } else {
            PeerIdentity::Refused
        };
        let Some(config) = config else {
            let has_identity = !matches!(self.header, Ok(None));
            return if self.expects_accounts || has_identity {
                unknown
            } else {
                PeerIdentity::Known(None)
            };
        };
        let accounts = &config.accounts;
        let header = match self.header {
            Ok(header) => header,
            Err(AccountHeaderError) if accounts.is_empty() => None,
            Err(AccountHeaderError) => return PeerIdentity::Refused,
        };
        if let Some(id) = header.and_then(|header| accounts.find(&header.proof.digest())) {
            return PeerIdentity::Known(Some(Rc::clone(accounts.rule(id))));
        }
        // A key that this node doesn't know yet must not run without its account.
        if header.is_some() && is_behind {
            return PeerIdentity::Behind;
        }
        if accounts.is_empty() || self.is_anonymous(config) {
            return PeerIdentity::Known(None);
        }
        unknown
    }

    fn is_anonymous(&self, config: &MeshConfig) -> bool {
        let route = self.host.and_then(|host| config.route(host, self.path));
        route.is_some_and(|route| route.anonymous)
    }
}
