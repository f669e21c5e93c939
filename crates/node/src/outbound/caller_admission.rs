//! Authentication of callers' requests.

use std::{rc::Rc, time::Duration};

use http::{HeaderMap, HeaderValue, header, request::Parts};
use slog::info;
use tokio::time::Instant;

use super::{LocalReply, OutboundProxy};
use crate::{
    accounts::{CallerIdentity, CallerIdentityError, identify_caller, request_rank},
    config::{MeshConfig, RouteRule},
    header_names::{host_of, set_header},
    result_code::ResultCode,
};

/// Longest wait for a newer configuration before a key is refused that it may hold.
const CONFIG_WAIT: Duration = Duration::from_millis(300);

/// A caller's request with its route and its identity.
#[derive(Debug)]
pub(super) struct AdmittedCaller {
    pub(super) config: Rc<MeshConfig>,
    pub(super) route: Rc<RouteRule>,
    /// Identity of the caller; none on anonymous routes and where there are no accounts.
    pub(super) identity: Option<CallerIdentity>,
}

impl AdmittedCaller {
    /// Returns the rank of the request.
    pub(super) fn rank(&self) -> u8 {
        if self.config.accounts.is_empty() {
            return self.route.rank;
        }
        let account = self.identity.as_ref().map(|identity| &identity.account);
        request_rank(account.and_then(|account| account.rank), self.route.rank)
    }
}

impl OutboundProxy {
    /// Finds the route of a request, and identifies its caller by the key that it presents.
    ///
    /// A key is refused only by a configuration that is known to be the latest, as callers don't
    /// send a request again that was refused for its key.
    ///
    /// # Errors
    ///
    /// Returns the reply to a request without a route or a valid key.
    pub(super) async fn admit_caller(&self, head: &Parts) -> Result<AdmittedCaller, LocalReply> {
        let until = Instant::now() + CONFIG_WAIT;
        loop {
            let config = self.current_config().await?;
            let route = route_of(head, &config)?;
            match identify_caller(&config.accounts, route.anonymous, &head.headers) {
                Ok(identity) => {
                    if identity.is_some() {
                        self.core.check_key_validity()?;
                    }
                    return Ok(AdmittedCaller {
                        config,
                        route,
                        identity,
                    });
                }
                Err(error) => {
                    if !self.core.may_be_behind() {
                        self.log_refused_key(head, &route, &error);
                        return Err(LocalReply::unauthorized());
                    }
                    if !self.core.next_update(until).await {
                        return Err(LocalReply::key_unproven());
                    }
                }
            }
        }
    }

    /// Removes what a caller must not state itself where there are accounts.
    ///
    /// The host is set again if it was only in the request line, as the second node finds the
    /// route by it.
    pub(super) fn strip_identity(
        &self,
        headers: &mut HeaderMap,
        config: &MeshConfig,
        host: Option<&str>,
    ) {
        if config.accounts.is_empty() {
            return;
        }
        headers.remove(header::AUTHORIZATION);
        headers.remove(&self.core.headers.account);
        if let Some(host) = host
            && !headers.contains_key(header::HOST)
        {
            set_header(headers, &header::HOST, host);
        }
    }

    fn log_refused_key(&self, head: &Parts, route: &RouteRule, error: &CallerIdentityError) {
        let CallerIdentityError::UnknownKey { fingerprint } = error else {
            return;
        };
        if let Some(log) = self
            .core
            .log
            .for_request(self.core.clock.now(), "key unknown")
        {
            let id = head.headers.get(&self.core.headers.request_id);
            info!(log, "key unknown";
                "request" => id.and_then(|id: &HeaderValue| id.to_str().ok()),
                "route" => &*route.name,
                "key" => fingerprint,
                "version" => self.core.version().0);
        }
    }
}

fn route_of(head: &Parts, config: &MeshConfig) -> Result<Rc<RouteRule>, LocalReply> {
    let route = host_of(head).and_then(|host| config.route(&host, head.uri.path()).cloned());
    let status = http::StatusCode::NOT_FOUND;
    route.ok_or(LocalReply::rejected(ResultCode::NoRoute, status))
}
