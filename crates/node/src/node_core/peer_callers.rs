//! Identity of callers whose requests come from other nodes.

use std::{rc::Rc, time::Duration};

use http::request::Parts;
use tokio::time::Instant;

use super::NodeCore;
use crate::{
    accounts::{AccountHeader, AccountRule, PeerIdentity, PeerIdentityQuery},
    boot_clock::BootClock,
    freshness::KeyValidity,
    header_names::host_of,
    inbound::{InboundRefusal, RefusalReason},
    outbound::RETRY_AFTER_KEY_UNPROVEN,
    transport::PeerRequestHeader,
};

/// Longest wait for the configuration of a sender that has a newer one.
const CONFIG_WAIT: Duration = Duration::from_millis(500);

/// Account for which a request of another node runs.
#[derive(Debug, Clone, Default)]
pub struct PeerCaller {
    /// Account of the caller; none on anonymous routes and where there are no accounts.
    pub account: Option<Rc<AccountRule>>,
    /// Time on the boot clock until which the request may begin to run; none for no limit.
    pub valid_until: Option<Duration>,
}

impl NodeCore {
    /// Finds out by this node's own configuration for whom a request of another node runs.
    ///
    /// Waits for a short time if the sender has a newer configuration by which it may run.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request must not run.
    pub async fn identify_peer_caller(
        &self,
        head: &Parts,
        peer_header: &PeerRequestHeader,
    ) -> Result<PeerCaller, InboundRefusal> {
        let header = AccountHeader::read(&head.headers);
        let expects_accounts = self.settings.accounts.is_some();
        if header == Ok(None) && !expects_accounts && !self.has_accounts() {
            return Ok(PeerCaller::default());
        }
        let arrived = BootClock::now();
        let until = Instant::now() + CONFIG_WAIT;
        let host = host_of(head);
        let query = PeerIdentityQuery {
            header,
            sender_version: peer_header.version,
            host: host.as_deref(),
            path: head.uri.path(),
            expects_accounts,
        };
        loop {
            let config = self.config.borrow().clone();
            match query.decide(config.as_deref()) {
                PeerIdentity::Known(account) => {
                    let remaining = header.ok().flatten().and_then(|header| header.remaining);
                    let valid_until = account.as_ref().and_then(|_| {
                        let remaining = self.run_time_limit(remaining)?;
                        Some(arrived + remaining)
                    });
                    return Ok(PeerCaller {
                        account,
                        valid_until,
                    });
                }
                PeerIdentity::Behind if self.next_update(until).await => {}
                PeerIdentity::Behind => return Err(refusal(RefusalReason::ConfigBehind)),
                PeerIdentity::Refused => return Err(refusal(RefusalReason::KeyUnknown)),
            }
        }
    }

    /// Returns the time in which a request has to begin to run, by what its sender says.
    ///
    /// If it names no time, the proof of this node counts. No proof is valid for longer than the
    /// time in which revocations take effect.
    fn run_time_limit(&self, stated: Option<Duration>) -> Option<Duration> {
        let remaining = match (stated, self.key_validity()) {
            (Some(stated), _) => stated,
            (None, KeyValidity::Unlimited) => return None,
            (None, KeyValidity::Valid { remaining, .. }) => remaining,
            (None, KeyValidity::Expired { .. }) => Duration::ZERO,
        };
        let terms = self.settings.accounts.as_ref();
        Some(terms.map_or(remaining, |terms| remaining.min(terms.revoke_time)))
    }
}

const fn refusal(reason: RefusalReason) -> InboundRefusal {
    InboundRefusal {
        reason,
        retry_after: RETRY_AFTER_KEY_UNPROVEN,
    }
}
