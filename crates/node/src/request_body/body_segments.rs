//! Bytes of a body that is arriving.

use bytes::{Bytes, BytesMut};

/// Size of all segments but the first ones of a body, in bytes.
///
/// Segments of one size are reused by the allocator, where a buffer that grows would leave holes.
pub const SEGMENT_MAX_BYTES: usize = 64 * 1024;
/// Smallest size of a segment in bytes.
const SEGMENT_MIN_BYTES: usize = 512;

/// Bytes of a body that is arriving, in segments.
///
/// The bytes are copied: a piece as it was received would keep the whole read buffer that it is a
/// part of, and a body in one-byte chunks would take many times its size.
///
/// # Examples
///
/// ```
/// use geranium_node::request_body::BodySegments;
///
/// let mut segments = BodySegments::default();
/// for byte in b"fish" {
///     segments.push(&[*byte]);
/// }
/// assert_eq!(segments.len(), 4);
/// assert_eq!(segments.capacity(), 512);
/// assert_eq!(segments.into_segments(), ["fish"]);
/// ```
#[derive(Debug, Default)]
pub struct BodySegments {
    segments: Vec<BytesMut>,
    length: usize,
    capacity: usize,
}

impl BodySegments {
    /// Returns the number of bytes that have arrived.
    pub const fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no bytes have arrived.
    pub const fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the memory of all segments in bytes.
    pub const fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the size of the segment that `bytes` further bytes need first; 0 if they need none.
    ///
    /// Segments grow with the body, so that at most half of its memory is unused.
    pub fn needed_segment(&self, bytes: usize) -> usize {
        if bytes == 0 || self.spare() > 0 {
            return 0;
        }
        let size = bytes.max(self.length);
        size.clamp(SEGMENT_MIN_BYTES, SEGMENT_MAX_BYTES)
    }

    /// Adds received bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = self.push_part(bytes);
        }
    }

    /// Adds received bytes as far as one segment takes them, and returns the others.
    pub fn push_part<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let size = self.needed_segment(bytes.len());
        if size > 0 {
            self.segments.push(BytesMut::with_capacity(size));
            self.capacity += size;
        }
        let (part, rest) = bytes.split_at(bytes.len().min(self.spare()));
        if let Some(last) = self.segments.last_mut() {
            last.extend_from_slice(part);
            self.length += part.len();
        }
        rest
    }

    /// Returns the bytes in their order.
    pub fn into_segments(self) -> Vec<Bytes> {
        self.segments.into_iter().map(BytesMut::freeze).collect()
    }

    fn spare(&self) -> usize {
        self.segments
            .last()
            .map_or(0, |last| last.capacity() - last.len())
    }
}
