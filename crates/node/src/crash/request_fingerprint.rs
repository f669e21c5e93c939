//! Hashes that identify a request that is sent again.

use http::{HeaderMap, Method, Uri, header};
use xxhash_rust::xxh3::Xxh3Default;

/// Returns the hash of a request's method, host, path, query and body.
///
/// # Examples
///
/// ```
/// use geranium_node::crash::request_fingerprint;
/// use http::{HeaderMap, Method, Uri};
///
/// let fingerprint = |path, body| {
///     request_fingerprint(&Method::GET, &Uri::from_static(path), &HeaderMap::new(), body)
/// };
/// assert_eq!(fingerprint("/p/x", b"a"), fingerprint("/p/x", b"a"));
/// assert_ne!(fingerprint("/p/x", b"a"), fingerprint("/p/x", b"b"));
/// ```
pub fn request_fingerprint(method: &Method, uri: &Uri, headers: &HeaderMap, body: &[u8]) -> u64 {
    let host = headers
        .get(header::HOST)
        .map_or(&b""[..], |host| host.as_bytes());
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let mut hasher = Xxh3Default::new();
    for part in [method.as_str().as_bytes(), host, path.as_bytes(), body] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
