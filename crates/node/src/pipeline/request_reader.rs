//! Bytes of a connection that no lane has taken yet.

use bytes::BytesMut;

use super::{FrameScan, RequestFrame, RequestTarget, scan_request};

/// Bytes of requests that a connection reads ahead.
///
/// The kernel keeps what the caller sends beyond them, so the caller waits.
pub const READ_AHEAD_MAX_BYTES: usize = 64 * 1024;

/// Bytes that were received on a connection and belong to requests that haven't begun.
#[derive(Debug)]
pub struct RequestReader {
    input: BytesMut,
    /// Bytes of the input in which no end of a head was found.
    searched: usize,
    /// Result of the last search; it holds until bytes are taken, unless it is
    /// [`FrameScan::Incomplete`].
    next: FrameScan,
    max_head_bytes: usize,
}

impl RequestReader {
    /// Creates a reader whose heads have at most `max_head_bytes`.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::pipeline::{FrameScan, RequestReader};
    ///
    /// let mut reader = RequestReader::new(8_192);
    /// reader.push(b"GET /a HTTP/1.1\r\n\r\nGET /b");
    /// let FrameScan::Complete(frame) = reader.next_frame() else {
    ///     panic!("the first request is complete");
    /// };
    /// let (request, missing) = reader.take_request(frame);
    /// assert_eq!((&*request, missing), (&b"GET /a HTTP/1.1\r\n\r\n"[..], 0));
    /// assert_eq!(reader.next_frame(), FrameScan::Incomplete);
    /// ```
    pub fn new(max_head_bytes: usize) -> Self {
        Self {
            input: BytesMut::new(),
            searched: 0,
            next: FrameScan::Incomplete,
            max_head_bytes,
        }
    }

    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.extend_from_slice(bytes);
    }

    /// Returns whether no received bytes are left.
    pub fn is_empty(&self) -> bool {
        self.input.is_empty()
    }

    /// Returns whether more bytes may be received.
    pub fn has_room(&self) -> bool {
        self.input.len() < READ_AHEAD_MAX_BYTES.max(self.max_head_bytes)
    }

    /// Searches for the end of the next request.
    ///
    /// The search goes on only when a blank line has arrived. Otherwise a head that arrives byte by
    /// byte would be parsed as often.
    pub fn next_frame(&mut self) -> FrameScan {
        let is_open = self.next == FrameScan::Incomplete && self.input.len() > self.searched;
        let is_full = self.input.len() >= self.max_head_bytes;
        if is_open && (self.searched == 0 || is_full || self.has_blank_line()) {
            self.next = scan_request(&self.input, self.max_head_bytes);
        }
        self.searched = self.input.len();
        self.next
    }

    /// Returns the target of the next request, whose frame is given; none if it is malformed.
    pub fn target(&self, frame: RequestFrame) -> Option<RequestTarget> {
        RequestTarget::read(self.input.get(..frame.head_bytes)?)
    }

    /// Takes the next request, whose frame is given, as far as it was received.
    ///
    /// The second value is the number of bytes of its body that haven't been received.
    pub fn take_request(&mut self, frame: RequestFrame) -> (BytesMut, u64) {
        let whole = (frame.head_bytes as u64).saturating_add(frame.body_bytes);
        let received = whole.min(self.input.len() as u64);
        let bytes = if received == self.input.len() as u64 {
            self.take_all()
        } else {
            self.forget_search();
            self.input.split_to(received as usize)
        };
        (bytes, whole - received)
    }

    /// Takes all received bytes.
    pub fn take_all(&mut self) -> BytesMut {
        self.forget_search();
        std::mem::take(&mut self.input)
    }

    fn forget_search(&mut self) {
        self.searched = 0;
        self.next = FrameScan::Incomplete;
    }

    /// Returns whether a blank line ends within the bytes that weren't searched.
    ///
    /// The line before it may end with a line feed alone, whichever way the blank line ends.
    fn has_blank_line(&self) -> bool {
        let tail = &self.input[self.searched.saturating_sub(2)..];
        tail.windows(2).any(|line| line == b"\n\n") || tail.windows(3).any(|line| line == b"\n\r\n")
    }
}
