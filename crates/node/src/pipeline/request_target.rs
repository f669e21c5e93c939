//! Host and target of a request that hasn't begun.

use std::mem::MaybeUninit;

use http::{HeaderValue, Uri, header};
use httparse::Request;

use super::request_frame::HEADERS_MAX;

/// Host and target of a request that hasn't begun, by which its route is looked up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTarget {
    /// Value of the `Host` header; none if it is missing or not text.
    pub host: Option<String>,
    /// Target of the request line.
    pub uri: Uri,
}

impl RequestTarget {
    /// Reads the target from the head of a request; none if it is malformed.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::pipeline::RequestTarget;
    ///
    /// let target = RequestTarget::read(b"GET /p/x?a=b HTTP/1.1\r\nHost: till\r\n\r\n");
    /// let target = target.expect("the head is well-formed");
    /// assert_eq!(target.host.as_deref(), Some("till"));
    /// assert_eq!(target.uri.path(), "/p/x");
    /// ```
    pub fn read(head: &[u8]) -> Option<Self> {
        let mut headers = [const { MaybeUninit::uninit() }; HEADERS_MAX];
        let mut request = Request::new(&mut []);
        let parsed = request.parse_with_uninit_headers(head, &mut headers);
        if !parsed.is_ok_and(|status| status.is_complete()) {
            return None;
        }
        let host = request
            .headers
            .iter()
            .find(|line| line.name.eq_ignore_ascii_case(header::HOST.as_str()))
            .and_then(|line| HeaderValue::from_bytes(line.value).ok());
        let host = host.as_ref().and_then(|host| host.to_str().ok());
        let uri = Uri::try_from(request.path?).ok()?;
        let host = host.map(ToOwned::to_owned);
        Some(Self { host, uri })
    }
}
