//! Finds where a request ends.

use std::mem::MaybeUninit;

use http::header;
use httparse::{Header, Request, Status};

/// Largest number of header lines, as in `hyper`.
pub(super) const HEADERS_MAX: usize = 100;
/// Value of `httparse::Request::version` for HTTP/1.1.
const HTTP_11: u8 = 1;

/// Extent of a request in the bytes of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFrame {
    /// Bytes of the head, with its blank line and any blank lines before it.
    pub head_bytes: usize,
    /// Bytes of the body.
    pub body_bytes: u64,
    /// Whether the caller closes the connection after the response.
    pub is_last: bool,
}

/// Result of the search for a request's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameScan {
    /// The head isn't complete.
    Incomplete,
    /// The head is complete and the length of the body is known.
    Complete(RequestFrame),
    /// The request is malformed or too large, or its end can't be known from its head.
    Undelimited,
}

/// Searches the bytes at the start of a request for its end.
///
/// A request counts as delimited only if `hyper` reads it to the same end: wherever
/// the two could differ, a lane would take the bytes behind the request for another one.
///
/// # Examples
///
/// ```
/// use geranium_node::pipeline::{FrameScan, scan_request};
///
/// let FrameScan::Complete(frame) = scan_request(b"GET / HTTP/1.1\r\n\r\nGET", 8_192) else {
///     panic!("the head is complete");
/// };
/// assert_eq!((frame.head_bytes, frame.body_bytes), (18, 0));
/// assert_eq!(scan_request(b"GET / HT", 8_192), FrameScan::Incomplete);
/// assert_eq!(scan_request(b"GET\0", 8_192), FrameScan::Undelimited);
/// ```
pub fn scan_request(bytes: &[u8], max_head_bytes: usize) -> FrameScan {
    let mut headers = [const { MaybeUninit::uninit() }; HEADERS_MAX];
    let mut request = Request::new(&mut []);
    match request.parse_with_uninit_headers(bytes, &mut headers) {
        Ok(Status::Complete(head_bytes)) if head_bytes <= max_head_bytes => {
            let frame = frame_of(&request, head_bytes);
            frame.map_or(FrameScan::Undelimited, FrameScan::Complete)
        }
        Ok(Status::Partial) if bytes.len() < max_head_bytes => FrameScan::Incomplete,
        _ => FrameScan::Undelimited,
    }
}

/// Returns the frame of a request by its head; none if its end can't be known.
fn frame_of(request: &Request<'_, '_>, head_bytes: usize) -> Option<RequestFrame> {
    if request.version != Some(HTTP_11) || request.method == Some("CONNECT") {
        return None;
    }
    let mut body_bytes = None;
    let mut is_last = false;
    for Header { name, value } in request.headers.iter() {
        let is_named = |header: &header::HeaderName| name.eq_ignore_ascii_case(header.as_str());
        if is_named(&header::TRANSFER_ENCODING) || is_named(&header::UPGRADE) {
            return None;
        } else if is_named(&header::CONTENT_LENGTH) {
            if body_bytes.replace(body_length(value)?).is_some() {
                return None;
            }
        } else if is_named(&header::CONNECTION) {
            is_last |= says_close(value);
        }
    }
    Some(RequestFrame {
        head_bytes,
        body_bytes: body_bytes.unwrap_or(0),
        is_last,
    })
}

/// Returns the value of `Content-Length`; none unless it consists of digits only.
fn body_length(value: &[u8]) -> Option<u64> {
    let digits = value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| digits)?;
    text.parse().ok()
}

/// Returns whether a `Connection` header asks to close the connection.
fn says_close(value: &[u8]) -> bool {
    value
        .split(|&byte| byte == b',')
        .any(|token| token.trim_ascii().eq_ignore_ascii_case(b"close"))
}
