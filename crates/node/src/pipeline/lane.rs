//! Connection in memory that serves one request at a time.

use std::{
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll, Waker},
};

use bytes::BytesMut;
use hyper::{
    body::{Body, Incoming},
    rt::{Read, Write},
    server::conn::http1,
    service::HttpService,
};

use super::{
    lane_state::{LaneState, SocketShare},
    lane_waker::LaneWaker,
};

/// Connection of an HTTP server that can be told to close after its response.
pub(super) trait ServedConnection: Future<Output = hyper::Result<()>> + Unpin {
    /// Closes the connection at once if it is idle, or after its response.
    fn begin_close(&mut self);
}

impl<I, B, S> ServedConnection for http1::Connection<I, S>
where
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    I: Read + Write + Unpin,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    Self: Unpin,
{
    fn begin_close(&mut self) {
        Pin::new(self).graceful_shutdown();
    }
}

/// What a lane waits for.
#[derive(Debug)]
enum LaneWait {
    /// For anything, as it has a request, was moved or may read on.
    Nothing,
    /// For an event that wakes the connection's own task.
    Task,
    /// For an event that wakes the lane's own waker.
    Own,
    /// The connection has ended and must not be polled.
    Ended,
}

/// Connection in memory that serves one request at a time.
#[derive(Debug)]
pub(super) struct Lane<C> {
    connection: C,
    state: Rc<LaneState>,
    wait: LaneWait,
    waker: Option<Arc<LaneWaker>>,
    is_closing: bool,
}

impl<C: ServedConnection> Lane<C> {
    /// Creates a lane without a request.
    pub const fn new(connection: C, state: Rc<LaneState>) -> Self {
        Self {
            connection,
            state,
            wait: LaneWait::Nothing,
            waker: None,
            is_closing: false,
        }
    }

    /// Returns the shared state of the lane.
    pub fn state(&self) -> &LaneState {
        &self.state
    }

    /// Gives the lane a request, whose part that hasn't been received is read from the socket.
    pub fn begin(&mut self, request: BytesMut, rest: SocketShare) {
        self.state.begin(request, rest);
        self.wait = LaneWait::Nothing;
    }

    /// Lets the lane write to the socket.
    pub fn move_to_front(&mut self) {
        self.state.move_to_front();
        self.expect_progress();
    }

    /// Closes the connection after the response to the lane's request.
    pub fn begin_close(&mut self) {
        if !self.is_closing {
            self.is_closing = true;
            self.connection.begin_close();
            self.expect_progress();
        }
    }

    /// Polls the lane if something has happened since it was last polled.
    ///
    /// Returns whether its connection has ended. If the lane is the only one with a request, it
    /// uses the waker of the connection's task, which costs nothing.
    pub fn poll(&mut self, cx: &mut Context<'_>, is_only: bool) -> bool {
        if !self.has_event(cx.waker()) {
            return matches!(self.wait, LaneWait::Ended);
        }
        let polled = if is_only {
            self.wait = LaneWait::Task;
            Pin::new(&mut self.connection).poll(cx)
        } else {
            self.wait = LaneWait::Own;
            let waker = Waker::from(self.own_waker(cx.waker()));
            Pin::new(&mut self.connection).poll(&mut Context::from_waker(&waker))
        };
        match polled {
            Poll::Pending => false,
            Poll::Ready(ended) => {
                // A connection that the caller closes or breaks is no fault of the node. Its
                // effect on a request is handled where the request is dropped.
                drop(ended);
                self.wait = LaneWait::Ended;
                true
            }
        }
    }

    fn has_event(&self, task: &Waker) -> bool {
        match self.wait {
            LaneWait::Nothing | LaneWait::Task => true,
            LaneWait::Own => {
                let waker = self.waker.as_ref();
                let is_woken = waker.is_none_or(|waker| waker.take_woken() || !waker.is_for(task));
                is_woken || self.state.may_resume()
            }
            LaneWait::Ended => false,
        }
    }

    /// Has the lane polled, unless it has ended.
    const fn expect_progress(&mut self) {
        if !matches!(self.wait, LaneWait::Ended) {
            self.wait = LaneWait::Nothing;
        }
    }

    /// Returns the lane's waker, which wakes the given task.
    fn own_waker(&mut self, task: &Waker) -> Arc<LaneWaker> {
        if let Some(waker) = self.waker.as_ref().filter(|waker| waker.is_for(task)) {
            return Arc::clone(waker);
        }
        let waker = LaneWaker::new(task);
        self.waker = Some(Arc::clone(&waker));
        waker
    }
}
