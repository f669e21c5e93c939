//! Names of HTTP headers, and functions that read, set and remove headers.

use std::str::FromStr;

use http::{HeaderMap, HeaderName, HeaderValue, Uri, header, request::Parts};

/// Names of the platform's headers in requests and responses.
///
/// The names differ between platforms, so the platform adapter passes them to the node at
/// startup.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifier of a caller's attempt, echoed in the response.
    pub request_id: HeaderName,
    /// Milliseconds until the caller stops waiting for the response.
    pub deadline_ms: HeaderName,
    /// Signature that the backend server adds to a successful response. The node checks
    /// only that it is there.
    pub signature: HeaderName,
    /// Identifier of the only backend server instance that may run the request.
    pub expected_instance: HeaderName,
    /// Instance identifier of the backend server that responded.
    pub instance: HeaderName,
    /// Header whose presence states that the backend server did not run the request.
    pub not_executed: HeaderName,
    /// Service of the machine on which the request originated.
    pub caller_service: HeaderName,
    /// Requests per second that a backend server takes from all nodes together, in its responses.
    pub rate_limit: HeaderName,
    /// Header with which a backend server says in its responses that it is leaving.
    pub leaving: HeaderName,
    /// Name of the caller's account, which the second node sets for the backend server.
    pub account: HeaderName,
    /// Load that a backend server reports in its responses.
    pub server_load: HeaderName,
}

/// Routing data of a request that one node sends to another:
/// [`PeerRequestHeader`](crate::transport::PeerRequestHeader).
pub const PEER_REQUEST_HEADER: HeaderName = HeaderName::from_static("geranium-hop");
/// Routing data of a request that a node is about to send, in a question whether the other node
/// would admit it: [`PeerRequestHeader`](crate::transport::PeerRequestHeader). A node that doesn't
/// know such questions takes none for a request, as they don't have [`PEER_REQUEST_HEADER`].
pub const PEER_ADMISSION_HEADER: HeaderName = HeaderName::from_static("geranium-admission");
/// Identity of the caller: [`AccountHeader`](crate::accounts::AccountHeader).
pub const PEER_ACCOUNT_HEADER: HeaderName = HeaderName::from_static("geranium-account");
/// Load of the backend server: [`LoadReport`](crate::member::LoadReport).
pub const PEER_LOAD_HEADER: HeaderName = HeaderName::from_static("geranium-load");
/// Reason why the request certainly didn't run:
/// [`InboundRefusal`](crate::inbound::InboundRefusal).
pub const PEER_REFUSAL_HEADER: HeaderName = HeaderName::from_static("geranium-refusal");
/// Completions of a suspect: [`CompletionEvidence`](crate::crash::CompletionEvidence). A node of an
/// earlier version doesn't read it, and counts each crash in full.
pub const PEER_COMPLETIONS_HEADER: HeaderName = HeaderName::from_static("geranium-completions");
/// Reason why a request that may have run has no usable response.
pub const PEER_FAILURE_HEADER: HeaderName = HeaderName::from_static("geranium-broke");
/// Diagnosis of a broken connection to a backend server:
/// [`BreakDiagnosis`](crate::crash::BreakDiagnosis) as JSON.
pub const PEER_DIAGNOSIS_HEADER: HeaderName = HeaderName::from_static("geranium-finding");
/// Version of the configuration that the responding node holds.
pub const PEER_VERSION_HEADER: HeaderName = HeaderName::from_static("geranium-version");

/// Hop-by-hop headers, which concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    http::header::CONNECTION,
    http::header::TRANSFER_ENCODING,
    http::header::CONTENT_LENGTH,
    http::header::TE,
    http::header::TRAILER,
    http::header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];
/// Headers that only nodes send to each other.
const PEER_HEADERS: [HeaderName; 9] = [
    PEER_REQUEST_HEADER,
    PEER_ADMISSION_HEADER,
    PEER_ACCOUNT_HEADER,
    PEER_LOAD_HEADER,
    PEER_REFUSAL_HEADER,
    PEER_FAILURE_HEADER,
    PEER_COMPLETIONS_HEADER,
    PEER_DIAGNOSIS_HEADER,
    PEER_VERSION_HEADER,
];

/// Estimated bytes of a head apart from the given headers: the first line, and the headers
/// that hyper adds (date, length, connection).
const HEAD_FIXED_BYTES: u64 = 120;

/// Returns the approximate size of a request's or response's head in bytes.
///
/// # Examples
///
/// ```
/// use geranium_node::header_names::head_bytes;
/// use http::{HeaderMap, HeaderValue, header};
///
/// let mut headers = HeaderMap::new();
/// let bare = head_bytes(&headers);
/// headers.insert(header::HOST, HeaderValue::from_static("till.example"));
/// assert_eq!(head_bytes(&headers), bare + 20);
/// ```
pub fn head_bytes(headers: &HeaderMap) -> u64 {
    let lines = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    HEAD_FIXED_BYTES + lines.sum::<usize>() as u64
}

/// Removes the hop-by-hop headers, including those that `Connection` lists.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in &CONNECTION_HEADERS {
        headers.remove(name);
    }
}

/// Removes the headers that only nodes send to each other.
///
/// Callers and backend servers must not be able to forge them.
pub fn strip_peer_headers(headers: &mut HeaderMap) {
    for name in &PEER_HEADERS {
        headers.remove(name);
    }
}

/// Returns the value of a header, or none if it is absent or not printable.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the parsed value of a header; none if it is missing or malformed.
pub(crate) fn parse_header<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    header_text(headers, name)?.parse().ok()
}

/// Sets a header to `text`, or to `unprintable` if a header can't hold the text.
pub fn set_header(headers: &mut HeaderMap, name: &HeaderName, text: &str) {
    let value = HeaderValue::from_str(text);
    headers.insert(
        name,
        value.unwrap_or(HeaderValue::from_static("unprintable")),
    );
}

/// Returns the host that a request names, in lower case and without its port.
pub fn host_of(head: &Parts) -> Option<String> {
    let named = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    normalized_host(named, &head.uri)
}

/// Returns the host in lower case and without its port.
///
/// `named` is the value of the `Host` header, before which the host of the target doesn't count.
pub fn normalized_host(named: Option<&str>, uri: &Uri) -> Option<String> {
    let host = named.or_else(|| uri.host())?;
    let host = host.split(':').next().unwrap_or_default();
    Some(host.to_ascii_lowercase())
}
