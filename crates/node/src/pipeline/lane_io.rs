//! I/O of a lane.

use std::{
    cell::RefCell,
    io::{self, IoSlice},
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::lane_state::{LaneState, SocketShare};

/// Largest piece of a request's body in bytes that is read at once.
const BODY_READ_BYTES: usize = 8 * 1024;

/// I/O of a lane: reads its request, and writes to the socket while the lane is at the front.
///
/// Where it can't go on, it doesn't wake its task: the connection polls the lane when it gives
/// it a request or moves it to the front.
#[derive(Debug)]
pub(super) struct LaneIo<S> {
    socket: Rc<RefCell<S>>,
    state: Rc<LaneState>,
}

impl<S> LaneIo<S> {
    /// Creates the I/O of a lane.
    pub const fn new(socket: Rc<RefCell<S>>, state: Rc<LaneState>) -> Self {
        Self { socket, state }
    }

    /// Returns the state of the lane.
    pub const fn state(&self) -> &Rc<LaneState> {
        &self.state
    }
}

impl<S: AsyncRead + Unpin> LaneIo<S> {
    /// Reads from the socket what belongs to the lane, and nothing behind it.
    fn poll_socket(
        &self,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut socket = self.socket.borrow_mut();
        let SocketShare::Bytes(missing) = self.state.socket_share() else {
            return Pin::new(&mut TokioIo::new(&mut *socket)).poll_read(cx, buf);
        };
        let mut scratch = [const { MaybeUninit::uninit() }; BODY_READ_BYTES];
        let length = buf.remaining().min(BODY_READ_BYTES).min(missing as usize);
        let mut received = ReadBuf::uninit(&mut scratch[..length]);
        ready!(Pin::new(&mut *socket).poll_read(cx, &mut received))?;
        buf.put_slice(received.filled());
        self.state.record_received(received.filled().len());
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + Unpin> Read for LaneIo<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let room = buf.remaining();
        if self.state.read_input(room, |bytes| buf.put_slice(bytes)) {
            Poll::Ready(Ok(()))
        } else if self.state.reads_socket() {
            self.poll_socket(cx, buf)
        } else {
            Poll::Pending
        }
    }
}

impl<S: AsyncWrite + Unpin> Write for LaneIo<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if !self.state.is_front() {
            return Poll::Pending;
        }
        Pin::new(&mut *self.socket.borrow_mut()).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.state.is_front() {
            return Poll::Pending;
        }
        Pin::new(&mut *self.socket.borrow_mut()).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.state.is_front() {
            ready!(Pin::new(&mut *self.socket.borrow_mut()).poll_flush(cx))?;
            self.state.record_flush();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.state.is_front() {
            return Poll::Pending;
        }
        Pin::new(&mut *self.socket.borrow_mut()).poll_shutdown(cx)
    }
}
