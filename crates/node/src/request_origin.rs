//! Origin of a request.

/// Origin of a request, to which its answer goes.
///
/// Answers to callers stay on this instance; only traffic to other nodes uses its link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A caller on this instance.
    Caller,
    /// Another node.
    Node,
}
