//! Complete body of a request.

use std::rc::Rc;

use bytes::Bytes;

use super::{BodySegments, BodyStream, body_memory::MemoryLease};

/// Complete body of a request; clones share its bytes.
///
/// # Examples
///
/// ```
/// use geranium_node::request_body::{BodySegments, RequestBody};
///
/// let mut segments = BodySegments::default();
/// segments.push(b"fish");
/// let body = RequestBody::from(segments);
/// assert_eq!(body.len(), 4);
/// assert!(body.segments().eq([b"fish"]));
/// ```
#[derive(Debug, Clone, Default)]
pub struct RequestBody {
    segments: Rc<[Bytes]>,
    length: u64,
    /// Memory of the segments; none for a body that isn't counted.
    _lease: Option<Rc<MemoryLease>>,
}

impl RequestBody {
    /// Returns the length in bytes.
    pub const fn len(&self) -> u64 {
        self.length
    }

    /// Returns whether the body has no bytes.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the bytes, in segments.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(|segment| &**segment)
    }

    /// Returns the body for a request to be sent.
    pub fn stream(&self) -> BodyStream {
        BodyStream::new(self.clone())
    }

    /// Creates a body from its bytes, whose memory the lease counts.
    pub(super) fn with_lease(segments: BodySegments, lease: MemoryLease) -> Self {
        Self {
            _lease: Some(Rc::new(lease)),
            ..Self::from(segments)
        }
    }

    /// Returns the segment at an index; none behind the last one.
    pub(super) fn segment(&self, index: usize) -> Option<&Bytes> {
        self.segments.get(index)
    }
}

impl From<BodySegments> for RequestBody {
    fn from(segments: BodySegments) -> Self {
        Self {
            length: segments.len() as u64,
            segments: segments.into_segments().into(),
            _lease: None,
        }
    }
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        if bytes.is_empty() {
            return Self::default();
        }
        Self {
            length: bytes.len() as u64,
            segments: Rc::new([bytes]),
            _lease: None,
        }
    }
}
