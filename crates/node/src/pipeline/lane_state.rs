//! State that a lane shares with its I/O and its response.

use std::cell::{Cell, RefCell};

use bytes::{Buf, BytesMut};

use super::HeldBytes;

/// Stage of the response to the request that a lane has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResponseStage {
    /// The response isn't complete.
    Open,
    /// `hyper` has read the whole response.
    Read,
    /// `hyper` has written and flushed the whole response.
    Flushed,
}

/// Part of the socket's bytes that a lane may read after its input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SocketShare {
    /// The rest of the request's body; 0 if the request is complete.
    Bytes(u64),
    /// All that follows on the connection.
    Rest,
}

/// Position of a lane among those of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LanePosition {
    /// The lane's response is the next to be sent, and the lane writes to the socket.
    Front,
    /// The lane waits until earlier responses have been sent.
    Behind,
}

/// State that a lane shares with its I/O and its response.
///
/// A response is complete when `hyper` flushes its I/O after it has dropped the
/// response's body. `hyper` drops the body only after it has buffered the last bytes, also
/// of empty bodies and of those that `HEAD` leaves out, and flushes its I/O only when
/// its buffers are empty.
#[derive(Debug)]
pub(super) struct LaneState {
    /// Received bytes of the request that `hyper` hasn't read.
    input: RefCell<BytesMut>,
    socket_share: Cell<SocketShare>,
    stage: Cell<ResponseStage>,
    position: Cell<LanePosition>,
    /// Whether no later request of the connection has begun.
    is_last: Cell<bool>,
    /// Bytes of the response that were read while the lane was behind.
    held: Cell<usize>,
    /// Whether the lane stopped reading its response because the connection holds enough.
    is_held_up: Cell<bool>,
    connection_held: HeldBytes,
}

impl LaneState {
    /// Creates the state of a lane without a request.
    pub fn new(connection_held: HeldBytes) -> Self {
        Self {
            input: RefCell::default(),
            socket_share: Cell::new(SocketShare::Bytes(0)),
            stage: Cell::new(ResponseStage::Flushed),
            position: Cell::new(LanePosition::Behind),
            is_last: Cell::new(true),
            held: Cell::new(0),
            is_held_up: Cell::new(false),
            connection_held,
        }
    }

    /// Gives the lane a request, whose part that hasn't been received is read from the socket.
    pub fn begin(&self, request: BytesMut, rest: SocketShare) {
        self.input.replace(request);
        self.socket_share.set(rest);
        self.stage.set(ResponseStage::Open);
        self.position.set(LanePosition::Behind);
        self.is_last.set(true);
    }

    /// Records that a later request of the connection has begun.
    pub fn record_later_request(&self) {
        self.is_last.set(false);
    }

    /// Returns whether no later request of the connection has begun.
    pub fn is_last(&self) -> bool {
        self.is_last.get()
    }

    /// Lets the lane write to the socket.
    pub fn move_to_front(&self) {
        self.position.set(LanePosition::Front);
        self.is_held_up.set(false);
        self.release_held();
    }

    /// Returns whether the lane may write to the socket.
    pub fn is_front(&self) -> bool {
        self.position.get() == LanePosition::Front
    }

    /// Returns whether the request was read and its response was sent.
    pub fn is_done(&self) -> bool {
        self.stage.get() == ResponseStage::Flushed
            && !self.reads_socket()
            && self.input.borrow().is_empty()
    }

    /// Returns whether the lane reads its request from the socket.
    pub fn reads_socket(&self) -> bool {
        self.socket_share.get() != SocketShare::Bytes(0)
    }

    /// Returns what the lane may read from the socket.
    pub const fn socket_share(&self) -> SocketShare {
        self.socket_share.get()
    }

    /// Records bytes that the lane read from the socket.
    pub fn record_received(&self, bytes: usize) {
        if let SocketShare::Bytes(missing) = self.socket_share.get() {
            let missing = missing.saturating_sub(bytes as u64);
            self.socket_share.set(SocketShare::Bytes(missing));
        }
    }

    /// Passes received bytes of the request to `read`, up to `limit`; returns whether there
    /// were any.
    pub fn read_input(&self, limit: usize, read: impl FnOnce(&[u8])) -> bool {
        let mut input = self.input.borrow_mut();
        let length = input.len().min(limit);
        if length == 0 {
            return false;
        }
        read(&input[..length]);
        input.advance(length);
        if input.is_empty() {
            // Returns the memory, which may be shared with the requests behind.
            *input = BytesMut::new();
        }
        true
    }

    /// Records that `hyper` has dropped the body of the response.
    pub fn record_body_end(&self) {
        self.stage.set(ResponseStage::Read);
    }

    /// Records that `hyper` has flushed all of its output.
    pub fn record_flush(&self) {
        if self.stage.get() == ResponseStage::Read {
            self.stage.set(ResponseStage::Flushed);
        }
    }

    /// Returns whether the response may be read further; remembers that it may not.
    pub fn may_read_response(&self) -> bool {
        let may_read = self.is_front() || !self.connection_held.is_full();
        self.is_held_up.set(!may_read);
        may_read
    }

    /// Returns whether the lane stopped reading its response and may go on.
    pub fn may_resume(&self) -> bool {
        self.is_held_up.get() && self.may_read_response()
    }

    /// Counts bytes of the response that were read, if the lane has to hold them.
    pub fn record_response(&self, bytes: usize) {
        if !self.is_front() {
            self.held.set(self.held.get() + bytes);
            self.connection_held.add(bytes);
        }
    }

    fn release_held(&self) {
        self.connection_held.remove(self.held.replace(0));
    }
}

impl Drop for LaneState {
    fn drop(&mut self) {
        self.release_held();
    }
}
