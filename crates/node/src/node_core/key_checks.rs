//! Whether the keys of callers may be trusted at present.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    time::Duration,
};

use slog::{info, warn};
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

use super::NodeCore;
use crate::{
    accounts::{AccountLabels, CallerIdentity},
    config::{ConfigVersion, MeshConfig},
    freshness::KeyValidity,
    outbound::{LocalReply, OutboundRequest},
};

/// Time for which a newer version that another node named counts as known. A node that has it
/// names it with every request and response; a false version is forgotten.
const NEWER_VERSION_MEMORY: Duration = Duration::from_secs(10);
/// Number of open requests above which none waits for a newer configuration.
const WAITING_REQUESTS_MAX: u32 = 128;
/// Largest number of changed keys of one version that are logged.
const LOGGED_KEYS_MAX: usize = 16;

/// State of the checks of callers' keys.
#[derive(Debug, Default)]
pub struct KeyCheckState {
    /// Newest version that another node named, and when it was named last.
    newest_version: Cell<(ConfigVersion, Duration)>,
    /// Ends the head start of the relay, as a request waits for a newer configuration.
    pub newer_config_wanted: Notify,
    /// Whether requests with a key are refused for want of a proof of freshness.
    is_unproven: Cell<bool>,
    /// Names of accounts in metrics.
    labels: RefCell<AccountLabels>,
}

impl NodeCore {
    /// Returns whether the deployment has client accounts.
    pub fn has_accounts(&self) -> bool {
        match &*self.config.borrow() {
            Some(config) => !config.accounts.is_empty(),
            None => self.settings.accounts.is_some(),
        }
    }

    /// Remembers that another node holds this version, if it is newer than this node's.
    pub(super) fn record_newer_version(&self, version: ConfigVersion) {
        let now = self.clock.now();
        let (newest, named_at) = self.key_checks.newest_version.get();
        if version >= newest || now > named_at + NEWER_VERSION_MEMORY {
            self.key_checks.newest_version.set((version, now));
        }
    }

    /// Returns whether a node at this address may be asked for its configuration.
    ///
    /// Anyone who reaches the port for other nodes can name an address. Where there are accounts,
    /// a configuration from there could hold his keys.
    pub(super) fn is_config_peer(&self, peer_addr: SocketAddr) -> bool {
        let knows_accounts = self.has_accounts() || self.settings.accounts.is_some();
        !knows_accounts || self.fleet.borrow().member_at(peer_addr).is_some()
    }

    /// Returns whether there may be a newer configuration than this node's.
    pub fn may_be_behind(&self) -> bool {
        let (newest, named_at) = self.key_checks.newest_version.get();
        let is_recent = self.clock.now() <= named_at + NEWER_VERSION_MEMORY;
        if newest > self.version() && is_recent {
            return true;
        }
        if self.settings.accounts.is_none() {
            return false;
        }
        match self.key_validity() {
            KeyValidity::Unlimited => false,
            KeyValidity::Valid { age, .. } => age > self.settings.config_time,
            KeyValidity::Expired { .. } => true,
        }
    }

    /// Waits until the next update of this node, at most until `until`.
    ///
    /// Returns whether there may have been one. If many requests are open, none waits.
    pub async fn next_update(&self, until: Instant) -> bool {
        if Instant::now() >= until || self.open_requests.get() > WAITING_REQUESTS_MAX {
            return false;
        }
        let updated = self.update_arrived.notified();
        self.key_checks.newer_config_wanted.notify_one();
        timeout_at(until, updated).await.is_ok()
    }

    /// Returns the time for which a request with a key may still begin to run; none for no limit.
    ///
    /// # Errors
    ///
    /// Returns the reply to the caller if there is no proof of freshness that is recent enough.
    pub fn check_key_validity(&self) -> Result<Option<Duration>, LocalReply> {
        let validity = self.key_validity();
        let (is_unproven, age) = match validity {
            KeyValidity::Unlimited => (false, None),
            KeyValidity::Valid { age, .. } => (false, Some(age)),
            KeyValidity::Expired { age } => (true, age),
        };
        if self.key_checks.is_unproven.replace(is_unproven) != is_unproven {
            let age_ms = age.map(|age| age.as_millis() as u64);
            let log = self.log.logger();
            if is_unproven {
                warn!(log, "no proof of freshness"; "age_ms" => age_ms,
                    "version" => self.version().0, "effect" => "requests with a key are refused");
            } else {
                info!(log, "proof of freshness regained"; "age_ms" => age_ms,
                    "version" => self.version().0);
            }
        }
        match validity {
            KeyValidity::Unlimited => Ok(None),
            KeyValidity::Valid { remaining, .. } => Ok(Some(remaining)),
            KeyValidity::Expired { .. } => Err(LocalReply::key_unproven()),
        }
    }

    /// Checks before a try that the request's key is still valid.
    ///
    /// # Errors
    ///
    /// Returns the reply to the caller if it isn't, or if that can't be told.
    pub fn recheck_identity(&self, request: &OutboundRequest) -> Result<(), LocalReply> {
        let Some(identity) = &request.identity else {
            return Ok(());
        };
        if !self.has_accounts() {
            return Ok(());
        }
        self.check_key_validity()?;
        if self.is_key_known(identity) || request.route.anonymous {
            return Ok(());
        }
        Err(LocalReply::unauthorized())
    }

    /// Returns the reply to a request whose key another node doesn't know.
    pub fn reply_to_unknown_key(&self, request: &OutboundRequest) -> LocalReply {
        let identity = request.identity.as_ref();
        match identity {
            Some(identity) if !self.is_key_known(identity) && !request.route.anonymous => {
                LocalReply::unauthorized()
            }
            _ => LocalReply::key_unproven(),
        }
    }

    /// Returns the identity with which a request is sent on; none if its key was revoked.
    pub fn valid_identity<'a>(&self, request: &'a OutboundRequest) -> Option<&'a CallerIdentity> {
        let identity = request.identity.as_ref();
        identity.filter(|identity| self.is_key_known(identity))
    }

    fn is_key_known(&self, identity: &CallerIdentity) -> bool {
        let config = self.config.borrow();
        let id = config
            .as_ref()
            .and_then(|config| config.accounts.find(&identity.proof.digest()));
        id.is_some()
    }

    /// Logs the keys that a new configuration adds and revokes, by their fingerprints.
    pub(super) fn log_key_changes(&self, previous: Option<&MeshConfig>, next: &MeshConfig) {
        let Some(previous) = previous else {
            return;
        };
        let changes = [
            ("key revoked", previous, next),
            ("key added", next, previous),
        ];
        for (message, with, without) in changes {
            let keys = with.accounts.keys();
            let mut keys = keys.filter(|(digest, _)| without.accounts.find(digest).is_none());
            for (digest, account) in keys.by_ref().take(LOGGED_KEYS_MAX) {
                info!(self.log.logger(), "{}", message;
                    "account" => &*account.name,
                    "key" => digest.fingerprint(),
                    "version" => next.version.0);
            }
            let more = keys.count();
            if more > 0 {
                info!(self.log.logger(), "more keys changed"; "change" => message,
                    "count" => more, "version" => next.version.0);
            }
        }
    }

    /// Counts the outcome of a request that has an account.
    pub(super) fn count_account_request(&self, request: &OutboundRequest, result: &'static str) {
        if let Some(identity) = &request.identity {
            let name = self
                .key_checks
                .labels
                .borrow_mut()
                .record(&identity.account);
            self.metrics.record_account_request(&name, result);
        }
    }
}
