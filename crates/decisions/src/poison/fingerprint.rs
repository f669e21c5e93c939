//! Fingerprints of requests.

use xxhash_rust::xxh3::Xxh3;

/// Hashes what makes a request the same request again.
///
/// Method, path with query, ticket if any, and body. Each part is preceded by
/// its length, so that moving a byte from one part to the next changes the
/// hash.
///
/// # Examples
///
/// ```
/// use geranium_decisions::poison::fingerprint;
///
/// let first = fingerprint("POST", "/orders", None, b"1 cod");
/// assert_eq!(first, fingerprint("POST", "/orders", None, b"1 cod"));
/// assert_ne!(first, fingerprint("POST", "/orders1", None, b" cod"));
/// assert_ne!(first, fingerprint("POST", "/orders", Some(""), b"1 cod"));
/// ```
pub fn fingerprint(method: &str, path: &str, ticket: Option<&str>, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    let mut part = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    part(method.as_bytes());
    part(path.as_bytes());
    part(&[u8::from(ticket.is_some())]);
    part(ticket.unwrap_or_default().as_bytes());
    part(body);
    hasher.digest()
}
