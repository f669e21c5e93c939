//! Sender of a request.

/// Sender of a request, which gets its response.
///
/// Responses to callers stay on this instance; only traffic to other nodes uses the link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A caller on this instance.
    Caller,
    /// Another node.
    Node,
}
