//! Resolving of hosts that are IP addresses already.

use ureq::{
    Agent, Error,
    config::Config,
    http::Uri,
    unversioned::{
        resolver::{ResolvedSocketAddrs, Resolver},
        transport::{DefaultConnector, NextTimeout},
    },
};

/// Resolver for `IP:PORT` hosts.
///
/// The library's own starts a thread for each call that has a timeout, which
/// would be part of every latency measured.
#[derive(Debug)]
struct AddressResolver;

impl Resolver for AddressResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let host = uri.authority().map(ureq::http::uri::Authority::as_str);
        let address = host.and_then(|host| host.parse().ok());
        let mut addresses = self.empty();
        addresses.push(address.ok_or(Error::HostNotFound)?);
        Ok(addresses)
    }
}

/// Makes an agent for `http://IP:PORT` that answers every status alike.
pub(crate) fn address_agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .max_idle_connections(1_024)
        .max_idle_connections_per_host(1_024)
        .build();
    Agent::with_parts(config, DefaultConnector::default(), AddressResolver)
}
