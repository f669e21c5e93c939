//! Names of the headers that callers and backend servers speak.

use http::{HeaderMap, HeaderName, HeaderValue};

/// Names of the headers that callers and backend servers speak.
///
/// They differ between platforms, so the node is told them at its start.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifier of a caller's attempt, echoed in the answer.
    pub request_id: HeaderName,
    /// Milliseconds that the caller still waits.
    pub deadline_ms: HeaderName,
    /// Proof that an answer is the backend server's own.
    pub signature: HeaderName,
    /// Start of the backend server that alone may run the request.
    pub expected_instance: HeaderName,
    /// Start of the backend server that answered.
    pub instance: HeaderName,
    /// Says that the backend server did not run the request.
    pub not_executed: HeaderName,
    /// Service of the machine on which the request began.
    pub caller_service: HeaderName,
}

/// What one node tells another of a request: see
/// [`PeerRequestHeader`](crate::transport::PeerRequestHeader).
pub const PEER_REQUEST_HEADER: HeaderName = HeaderName::from_static("geranium-hop");
/// Load of the backend server: see [`LoadReport`](crate::member::LoadReport).
pub const PEER_LOAD_HEADER: HeaderName = HeaderName::from_static("geranium-load");
/// The request certainly didn't run: see
/// [`InboundRefusal`](crate::inbound::InboundRefusal).
pub const PEER_REFUSAL_HEADER: HeaderName = HeaderName::from_static("geranium-refusal");
/// The request may have run and has no usable answer.
pub const PEER_FAILURE_HEADER: HeaderName = HeaderName::from_static("geranium-broke");
/// What was found of a backend server whose connection broke: see
/// [`BreakDiagnosis`](crate::crash::BreakDiagnosis), as JSON.
pub const PEER_DIAGNOSIS_HEADER: HeaderName = HeaderName::from_static("geranium-finding");
/// Version of the configuration that the answering node holds.
pub const PEER_VERSION_HEADER: HeaderName = HeaderName::from_static("geranium-version");

/// Headers that concern one connection only.
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
/// Headers by which nodes speak to one another.
const HOP_HEADERS: [HeaderName; 6] = [
    PEER_REQUEST_HEADER,
    PEER_LOAD_HEADER,
    PEER_REFUSAL_HEADER,
    PEER_FAILURE_HEADER,
    PEER_DIAGNOSIS_HEADER,
    PEER_VERSION_HEADER,
];

/// Bytes of a head beside the headers that are told: the first line, and what the
/// library adds (date, length, connection).
const HEAD_REST: u64 = 120;

/// Returns about how many bytes a head takes.
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
    HEAD_REST + lines.sum::<usize>() as u64
}

/// Removes the headers that concern one connection only, those that
/// `Connection` names among them.
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

/// Removes the headers by which nodes speak to one another: what comes from
/// outside must not be taken for a node's word.
pub fn strip_peer_headers(headers: &mut HeaderMap) {
    for name in &HOP_HEADERS {
        headers.remove(name);
    }
}

/// Returns a header as text, if it is there and printable.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Sets a header to a text; one that no header can hold becomes `unprintable`.
pub fn set_header(headers: &mut HeaderMap, name: &HeaderName, text: &str) {
    let value = HeaderValue::from_str(text);
    headers.insert(
        name,
        value.unwrap_or(HeaderValue::from_static("unprintable")),
    );
}
