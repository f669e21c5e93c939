//! Connection of a caller that may send requests before earlier ones are answered.

use std::{
    cell::RefCell,
    collections::VecDeque,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep, sleep_until},
};

use super::{
    BeginDecision, FrameScan, HeldBytes, RequestFrame, RequestReader, RequestTarget,
    begin_decision,
    lane::{Lane, ServedConnection},
    lane_io::LaneIo,
    lane_key::LaneKey,
    lane_state::{LaneState, SocketShare},
};
use crate::{connection_limits::ConnectionLimits, connections::ConnectionSlot};

/// Bytes read from the socket at once. Most requests are far smaller.
const READ_BYTES: usize = 16 * 1024;

/// Part of a connection that a lane serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LaneUse {
    /// One request after the other, each of them complete or with a known length.
    Requests,
    /// All that follows on the connection.
    Rest,
}

/// What the connection does with the bytes that it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReaderStage {
    /// Finds requests and gives them to lanes.
    Reading,
    /// Keeps the bytes, as the next request may begin only when it is first.
    WaitsForFirst,
    /// Begins nothing more, as the caller closes the connection after the last request.
    LastBegun,
    /// Leaves the bytes to the first lane, which serves the rest of the connection.
    HandedOver,
}

/// How far the node has closed the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CloseStage {
    Open,
    /// The connection ends with the last response to what has begun, or at once if it is idle.
    Closing,
}

/// Whether a step of the connection has changed anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Idle,
    Progress,
    Ended,
}

/// Connection of a caller that may send requests before earlier ones are answered.
///
/// Everything runs within the task that polls the connection. If the connection is dropped, or
/// the caller closes it, all of its requests are cancelled.
#[derive(Debug)]
pub(super) struct PipelineConnection<S, C, M, P> {
    socket: Rc<RefCell<S>>,
    reader: RequestReader,
    reader_stage: ReaderStage,
    close_stage: CloseStage,
    has_begun: bool,
    lanes: Vec<Lane<C>>,
    /// Lanes whose requests are unanswered, in the order of the requests.
    unanswered: VecDeque<LaneKey>,
    held: HeldBytes,
    make_lane: M,
    may_begin_early: P,
    /// Place of the connection; none if the listener has no bound.
    slot: Option<Rc<ConnectionSlot>>,
    idle_timeout: Duration,
    idle_since: Instant,
    idle_timer: Option<Pin<Box<Sleep>>>,
}

impl<S, C, M, P> PipelineConnection<S, C, M, P>
where
    S: AsyncRead + AsyncWrite + Unpin,
    C: ServedConnection,
    M: Fn(LaneIo<S>, LaneUse) -> C,
    P: Fn(&RequestTarget) -> bool,
{
    /// Creates the connection of a socket.
    ///
    /// `make_lane` creates the HTTP server of a lane. `may_begin_early` returns whether a request
    /// may begin while earlier ones are unanswered.
    pub fn new(
        socket: S,
        limits: ConnectionLimits,
        slot: Option<Rc<ConnectionSlot>>,
        make_lane: M,
        may_begin_early: P,
    ) -> Self {
        Self {
            socket: Rc::new(RefCell::new(socket)),
            reader: RequestReader::new(limits.max_head_bytes),
            reader_stage: ReaderStage::Reading,
            close_stage: CloseStage::Open,
            has_begun: false,
            lanes: Vec::new(),
            unanswered: VecDeque::new(),
            held: HeldBytes::default(),
            make_lane,
            may_begin_early,
            slot,
            idle_timeout: limits.idle_timeout,
            idle_since: Instant::now(),
            idle_timer: None,
        }
    }

    /// Closes the connection: at once if it is idle, or else with the last response to what has begun.
    ///
    /// A connection that has brought the beginning of its first request is served once.
    pub fn begin_close(&mut self) {
        self.close_stage = CloseStage::Closing;
        if self.reader_stage == ReaderStage::HandedOver {
            self.lanes[LaneKey::FIRST.index()].begin_close();
        }
    }

    /// Serves the connection; ready when it has ended.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            // The socket is read first, so that no run begins for a caller that has left.
            let mut step = Step::Idle;
            for stage in [Self::receive, Self::poll_lanes, Self::begin_requests] {
                match stage(self, cx) {
                    Step::Idle => {}
                    Step::Progress => step = Step::Progress,
                    Step::Ended => return Poll::Ready(()),
                }
            }
            if step == Step::Idle {
                return self.poll_idle(cx);
            }
        }
    }

    /// Reads from the socket what the lanes don't read themselves.
    fn receive(&mut self, cx: &mut Context<'_>) -> Step {
        let mut step = Step::Idle;
        while self.reader.has_room() && !self.lane_reads_socket() {
            let mut scratch = [const { MaybeUninit::uninit() }; READ_BYTES];
            let mut received = ReadBuf::uninit(&mut scratch);
            let mut socket = self.socket.borrow_mut();
            match Pin::new(&mut *socket).poll_read(cx, &mut received) {
                Poll::Pending => break,
                // A caller that closes or breaks its connection is no fault of the node.
                Poll::Ready(Err(_)) => return Step::Ended,
                Poll::Ready(Ok(())) if received.filled().is_empty() => return Step::Ended,
                Poll::Ready(Ok(())) => self.reader.push(received.filled()),
            }
            step = Step::Progress;
        }
        step
    }

    fn lane_reads_socket(&self) -> bool {
        // Only the front lane's request may be incomplete.
        let front = self.unanswered.front();
        front.is_some_and(|front| self.lanes[front.index()].state().reads_socket())
    }

    /// Polls the lanes that have requests, and sends complete responses in order.
    fn poll_lanes(&mut self, cx: &mut Context<'_>) -> Step {
        let mut step = Step::Idle;
        let read_socket = self.lane_reads_socket();
        while let Some(&front) = self.unanswered.front() {
            let is_only = self.unanswered.len() == 1;
            let lane = &mut self.lanes[front.index()];
            if self.close_stage == CloseStage::Closing && is_only {
                lane.begin_close();
            }
            if lane.poll(cx, is_only) {
                return Step::Ended;
            }
            if self.reader_stage == ReaderStage::HandedOver || !lane.state().is_done() {
                break;
            }
            self.finish_front();
            step = Step::Progress;
        }
        for key in self.unanswered.iter().skip(1) {
            // A lane that has ended closes the connection when it comes to the front.
            self.lanes[key.index()].poll(cx, false);
        }
        if read_socket && !self.lane_reads_socket() {
            // The connection reads again, to notice that the caller closes it.
            step = Step::Progress;
        }
        step
    }

    fn finish_front(&mut self) {
        self.unanswered.pop_front();
        if let Some(next) = self.unanswered.front() {
            self.lanes[next.index()].move_to_front();
            return;
        }
        self.idle_since = Instant::now();
        if let Some(slot) = &self.slot {
            slot.set_idle();
        }
        self.reader_stage = ReaderStage::Reading;
        // The buffers of a lane take 16 KiB, and most connections are idle most of the time.
        self.lanes.clear();
        self.lanes.shrink_to(1);
    }

    /// Gives requests to lanes as long as they may begin.
    fn begin_requests(&mut self, cx: &mut Context<'_>) -> Step {
        let mut step = Step::Idle;
        while self.may_begin_more() {
            match self.reader.next_frame() {
                FrameScan::Incomplete => break,
                FrameScan::Undelimited => {
                    if self.unanswered.is_empty() {
                        self.hand_over(cx);
                        return Step::Progress;
                    }
                    self.reader_stage = ReaderStage::WaitsForFirst;
                }
                FrameScan::Complete(frame) => match self.decide(frame) {
                    BeginDecision::Now => {
                        self.begin(cx, frame);
                        step = Step::Progress;
                    }
                    BeginDecision::WhenFewer => break,
                    BeginDecision::WhenFirst => self.reader_stage = ReaderStage::WaitsForFirst,
                },
            }
        }
        step
    }

    fn may_begin_more(&self) -> bool {
        // Nothing behind a response that closes the connection is answered.
        let is_open = self.close_stage == CloseStage::Open || self.unanswered.is_empty();
        self.reader_stage == ReaderStage::Reading && is_open
    }

    fn decide(&self, frame: RequestFrame) -> BeginDecision {
        begin_decision(&frame, self.unanswered.len(), || {
            let target = self.reader.target(frame);
            target.is_some_and(|target| (self.may_begin_early)(&target))
        })
    }

    /// Gives the next request to a free lane.
    ///
    /// The lane is polled at once: between the decision and the lookup of the request's route,
    /// no other configuration may come into force.
    fn begin(&mut self, cx: &mut Context<'_>, frame: RequestFrame) {
        let (request, missing) = self.reader.take_request(frame);
        let key = self.free_lane();
        if let Some(last) = self.unanswered.back() {
            self.lanes[last.index()].state().record_later_request();
        }
        self.unanswered.push_back(key);
        self.record_begin();
        if frame.is_last {
            self.reader_stage = ReaderStage::LastBegun;
        }
        let is_only = self.unanswered.len() == 1;
        let lane = &mut self.lanes[key.index()];
        lane.begin(request, SocketShare::Bytes(missing));
        if is_only {
            lane.move_to_front();
        }
        // Its end is noticed when it is at the front.
        lane.poll(cx, is_only);
    }

    fn record_begin(&mut self) {
        self.has_begun = true;
        if let Some(slot) = &self.slot {
            slot.set_busy();
        }
    }

    /// Returns the first lane without a request, which may be a new one.
    fn free_lane(&mut self) -> LaneKey {
        let keys = (0..self.lanes.len()).map(LaneKey::new);
        let mut free = keys.filter(|key| !self.unanswered.contains(key));
        if let Some(key) = free.next() {
            return key;
        }
        let lane = self.new_lane(LaneUse::Requests);
        if self.lanes.is_empty() {
            // A vector that grows by itself would take room for four lanes.
            self.lanes.reserve_exact(1);
        }
        self.lanes.push(lane);
        LaneKey::new(self.lanes.len() - 1)
    }

    fn new_lane(&self, lane_use: LaneUse) -> Lane<C> {
        let state = Rc::new(LaneState::new(self.held.clone()));
        let io = LaneIo::new(Rc::clone(&self.socket), Rc::clone(&state));
        Lane::new((self.make_lane)(io, lane_use), state)
    }

    /// Has a new lane serve the rest of the connection.
    ///
    /// It is polled at once, because `hyper` closes a connection at once that closes before it
    /// has read anything.
    fn hand_over(&mut self, cx: &mut Context<'_>) {
        let mut lane = self.new_lane(LaneUse::Rest);
        lane.begin(self.reader.take_all(), SocketShare::Rest);
        lane.move_to_front();
        self.lanes = vec![lane];
        self.unanswered.push_back(LaneKey::FIRST);
        self.reader_stage = ReaderStage::HandedOver;
        self.record_begin();
        self.lanes[LaneKey::FIRST.index()].poll(cx, true);
    }

    /// Ends an idle connection that is closing or has been idle for too long.
    fn poll_idle(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.unanswered.is_empty() {
            return Poll::Pending;
        }
        let brings_first = !self.has_begun && !self.reader.is_empty();
        if self.close_stage == CloseStage::Closing && !brings_first {
            return Poll::Ready(());
        }
        // The timer is set again only when it fires, which is rare on a busy connection.
        let idle_until = self.idle_since + self.idle_timeout;
        let timer = self
            .idle_timer
            .get_or_insert_with(|| Box::pin(sleep_until(idle_until)));
        while timer.as_mut().poll(cx).is_ready() {
            if Instant::now() >= idle_until {
                return Poll::Ready(());
            }
            timer.as_mut().reset(idle_until);
        }
        Poll::Pending
    }
}
