//! Hashes that identify a request that is sent again.

use http::{HeaderMap, Method, Uri, header};
use xxhash_rust::xxh3::Xxh3Default;

use crate::request_body::RequestBody;

/// Returns the hash of a request's method, host, path, query and body.
///
/// # Examples
///
/// ```
/// use bytes::Bytes;
/// use geranium_node::{crash::request_fingerprint, request_body::RequestBody};
/// use http::{HeaderMap, Method, Uri};
///
/// let fingerprint = |path, body| {
///     let body = RequestBody::from(Bytes::from_static(body));
///     request_fingerprint(&Method::GET, &Uri::from_static(path), &HeaderMap::new(), &body)
/// };
/// assert_eq!(fingerprint("/p/x", b"a"), fingerprint("/p/x", b"a"));
/// assert_ne!(fingerprint("/p/x", b"a"), fingerprint("/p/x", b"b"));
/// ```
pub fn request_fingerprint(
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    body: &RequestBody,
) -> u64 {
    let host = headers
        .get(header::HOST)
        .map_or(&b""[..], |host| host.as_bytes());
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let mut hasher = Xxh3Default::new();
    for part in [method.as_str().as_bytes(), host, path.as_bytes()] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.update(&body.len().to_le_bytes());
    for segment in body.segments() {
        hasher.update(segment);
    }
    hasher.digest()
}
