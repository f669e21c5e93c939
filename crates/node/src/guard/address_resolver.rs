//! Resolving of a backend server's address, which is one already.

use ureq::{
    Error,
    config::Config,
    http::Uri,
    unversioned::{
        resolver::{ResolvedSocketAddrs, Resolver},
        transport::NextTimeout,
    },
};

/// Resolver for `IP:PORT` hosts.
///
/// The library's own starts a thread for each call that has a timeout, which
/// every request here has.
#[derive(Debug)]
pub struct AddressResolver;

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
