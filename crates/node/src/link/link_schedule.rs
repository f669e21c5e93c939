//! Schedule of the link: which long responses are started and sent next.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

/// Fraction of the link rate that carries payload. A full TCP segment has 1,448 bytes of payload
/// in 1,538 bytes on Ethernet.
const PAYLOAD_FRACTION: f64 = 0.94;
/// Bytes per second in one megabit per second.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// Time for which long responses may fill the link ahead. A short response waits behind them, and a
/// timer may fire some milliseconds late.
const SEND_AHEAD_TIME: Duration = Duration::from_millis(12);
/// Time for which one chunk of a long response occupies the link.
const CHUNK_TIME: Duration = Duration::from_millis(6);
/// Bounds of a chunk in bytes. Below a packet or two, handing a chunk over costs more than
/// transmitting it. Above 64 KiB, a chunk exceeds what hyper reads at a time.
const CHUNK_BYTES_BOUNDS: std::ops::RangeInclusive<f64> = 4_096.0..=65_536.0;
/// Fraction of the time until a response is due that is planned with. The rest is for the path
/// through the other node to the caller, and for variations of run times and sizes.
const DEADLINE_FRACTION: f64 = 0.85;
/// Longest wait for the link of a late response that is ready. Beyond it the response would
/// displace another that can be in time.
const LATE_WAIT_MAX: Duration = Duration::from_millis(100);
/// Longest time in seconds that a transfer is expected to take. A backend server may state a length
/// that no link could ever carry.
const TRANSFER_TIME_MAX_S: f64 = 86_400.0;
/// Lower bound of the advised retry delay after a refused reservation.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// Key of a reserved transfer, ordered by due time, then by order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferKey {
    due_at: Duration,
    order: u64,
}

/// A long response for which the link is requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReservationRequest {
    /// Expected size in bytes.
    pub bytes: u64,
    /// Time until the backend server has the response ready.
    pub ready_in: Duration,
    /// Target time: the response is of full use until then.
    pub target_deadline: Duration,
    /// Time at which the caller gets a final response.
    pub ends_at: Duration,
    /// Address of the node that the response is sent to; none if it isn't known.
    pub receiver: Option<SocketAddr>,
}

/// Decision of the schedule about a link request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkDecision {
    /// The link is reserved for the transfer.
    Reserved(TransferKey),
    /// The response couldn't arrive in time.
    Refused {
        /// Time after which a reservation is possible.
        retry_after: Duration,
    },
}

/// Whether a transfer may send its next chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkTurn {
    /// The transfer may send a chunk now.
    Now,
    /// The transfer is next, once the link has capacity after this time.
    After(Duration),
    /// Another transfer goes first.
    Later,
    /// The transfer can't be in time any more. It continues under this key, behind those that can.
    Postponed(TransferKey),
    /// The transfer's end has been bounded. It continues under this key, which is due earlier.
    Advanced(TransferKey),
}

/// Remaining part of a reserved transfer.
#[derive(Debug, Clone, Copy)]
struct ReservedTransfer {
    bytes: f64,
    /// Time after which the response is of no use.
    ends_at: Duration,
    receiver: Option<SocketAddr>,
}

impl TransferKey {
    /// Returns the time at which the transfer is due.
    pub(super) const fn due_at(self) -> Duration {
        self.due_at
    }
}

impl ReservationRequest {
    /// Returns when the response is due: at its target time, or earlier if the caller gets its final
    /// response before.
    fn due_at(&self) -> Duration {
        self.target_deadline.min(self.ends_at)
    }
}

impl ReservedTransfer {
    const fn new(request: ReservationRequest) -> Self {
        Self {
            bytes: request.bytes as f64,
            ends_at: request.ends_at,
            receiver: request.receiver,
        }
    }
}

/// Schedule of the link: which long responses are started and sent next.
///
/// On a narrow link that is asked for more files than it can transmit, files that share it equally
/// all arrive late, and so do the short responses behind them, which calls between backend servers
/// wait for. Short responses are sent at once. Long ones take turns, the earliest due time first,
/// and fill the link only some milliseconds ahead. A long response is started only if it can
/// arrive by its due time behind everything that is reserved; otherwise it is refused at once.
///
/// A new reservation counts all reserved transfers, including those due later. Counting only those
/// due earlier would always leave capacity on a busy link: each new transfer would delay the
/// earlier reservations, whose responses end ready but unsent when their callers leave.
///
/// A transfer that turns out late gets the capacity that the others leave, until its caller's
/// deadline is near. If it kept its place as the earliest due, each late transfer would make the
/// next one late as well. A request that comes too late to be in time, as after a refusal, is
/// accepted only if the link would be idle by the time its response is ready.
#[derive(Debug)]
pub struct LinkSchedule {
    bytes_per_s: f64,
    /// Bytes sent to the link and not transmitted yet, as of `updated_at`.
    queued_bytes: f64,
    updated_at: Duration,
    /// Remaining part of each reserved transfer.
    transfers: BTreeMap<TransferKey, ReservedTransfer>,
    /// Transfers that have bytes ready and wait for their turn.
    waiting: BTreeSet<TransferKey>,
    order: u64,
}

impl LinkSchedule {
    /// Creates the schedule of an idle link with a rate in megabits per second.
    pub fn new(link_mbps: f64) -> Self {
        Self {
            bytes_per_s: (link_mbps * BYTES_PER_MBIT * PAYLOAD_FRACTION).max(1.0),
            queued_bytes: 0.0,
            updated_at: Duration::ZERO,
            transfers: BTreeMap::new(),
            waiting: BTreeSet::new(),
            order: 0,
        }
    }

    /// Reserves the link for a long response, if that can arrive in time.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::link::{ReservationRequest, LinkSchedule, LinkDecision};
    ///
    /// let mut link = LinkSchedule::new(8.0);
    /// let request = ReservationRequest {
    ///     bytes: 90_000,
    ///     ready_in: Duration::from_millis(100),
    ///     target_deadline: Duration::from_millis(400),
    ///     ends_at: Duration::from_millis(400),
    ///     receiver: None,
    /// };
    /// let reserved = (0..9).filter(|_| {
    ///     matches!(link.reserve(Duration::ZERO, request), LinkDecision::Reserved(_))
    /// });
    /// assert_eq!(reserved.count(), 3);
    /// ```
    pub fn reserve(&mut self, now: Duration, request: ReservationRequest) -> LinkDecision {
        if let Some(retry_after) = self.refusal(now, request) {
            return LinkDecision::Refused { retry_after };
        }
        let due_at = if self.can_be_in_time(now, request) {
            request.due_at()
        } else {
            request.ends_at
        };
        LinkDecision::Reserved(self.insert(due_at, ReservedTransfer::new(request)))
    }

    /// Returns the time until a reservation is possible, or `None` if it is possible now.
    pub fn refusal(&self, now: Duration, request: ReservationRequest) -> Option<Duration> {
        self.refusal_behind(self.backlog(now), now, request)
    }

    /// Whether a response couldn't arrive in time on an idle link either.
    ///
    /// Such a refusal rests on the expected size alone.
    pub fn exceeds_link(&self, now: Duration, request: ReservationRequest) -> bool {
        self.refusal_behind(Duration::ZERO, now, request).is_some()
    }

    /// Returns the time until a reservation is possible on a link that is free in `free`.
    fn refusal_behind(
        &self,
        free: Duration,
        now: Duration,
        request: ReservationRequest,
    ) -> Option<Duration> {
        let expected_sent_at =
            now + free.max(request.ready_in) + self.transfer_time(request.bytes as f64);
        let excess = if self.can_be_in_time(now, request) {
            expected_sent_at.saturating_sub(due_by(now, request.due_at()))
        } else {
            let past_end = expected_sent_at.saturating_sub(due_by(now, request.ends_at));
            free.saturating_sub(request.ready_in + LATE_WAIT_MAX)
                .max(past_end)
        };
        (excess > Duration::ZERO).then_some(excess.max(RETRY_AFTER_MIN))
    }

    /// Whether a response could arrive by its due time on an idle link.
    fn can_be_in_time(&self, now: Duration, request: ReservationRequest) -> bool {
        now + request.ready_in + self.transfer_time(request.bytes as f64) <= request.due_at()
    }

    /// Reserves the link for a long response without checking its capacity. Such a response is
    /// ready already, and nobody knew that it would be long, as with the first ones after a start.
    pub fn reserve_unchecked(&mut self, request: ReservationRequest) -> TransferKey {
        self.insert(request.due_at(), ReservedTransfer::new(request))
    }

    fn insert(&mut self, due_at: Duration, transfer: ReservedTransfer) -> TransferKey {
        self.order += 1;
        let order = self.order;
        let key = TransferKey { due_at, order };
        self.transfers.insert(key, transfer);
        key
    }

    /// Sets the remaining bytes of a transfer once its size is known.
    pub fn set_remaining_bytes(&mut self, key: TransferKey, bytes: u64) {
        if let Some(transfer) = self.transfers.get_mut(&key) {
            transfer.bytes = bytes as f64;
        }
    }

    /// Bounds the end of the transfers to some receivers, and returns the keys of these transfers.
    ///
    /// A transfer that is due later becomes due at `ends_at` with its next turn. Those that wait have
    /// to be asked for their turn again.
    pub fn bound_ends(
        &mut self,
        ends_at: Duration,
        is_bounded: impl Fn(Option<SocketAddr>) -> bool,
    ) -> Vec<TransferKey> {
        let transfers = self.transfers.iter_mut();
        let bounded = transfers
            .filter(|(_, transfer)| transfer.ends_at > ends_at && is_bounded(transfer.receiver));
        bounded
            .map(|(key, transfer)| {
                transfer.ends_at = ends_at;
                *key
            })
            .collect()
    }

    /// Returns whether a transfer may send its next chunk.
    pub fn turn(&mut self, now: Duration, key: TransferKey) -> LinkTurn {
        if let Some(rescheduled) = self.rescheduled(now, key) {
            return rescheduled;
        }
        self.waiting.insert(key);
        if self.waiting.first() != Some(&key) {
            return LinkTurn::Later;
        }
        let excess = self.queued_bytes_at(now) - SEND_AHEAD_TIME.as_secs_f64() * self.bytes_per_s;
        if excess > 0.0 {
            return LinkTurn::After(self.transfer_time(excess));
        }
        self.waiting.remove(&key);
        LinkTurn::Now
    }

    /// Moves a transfer that can't be in time any more behind those that can, and brings forward one
    /// whose end has been bounded.
    ///
    /// Returns `None` if it keeps its place.
    fn rescheduled(&mut self, now: Duration, key: TransferKey) -> Option<LinkTurn> {
        let transfer = *self.transfers.get(&key)?;
        let is_late = now + self.transfer_time(transfer.bytes) > key.due_at;
        let turn = match transfer.ends_at.cmp(&key.due_at) {
            Ordering::Less => LinkTurn::Advanced,
            Ordering::Greater if is_late => LinkTurn::Postponed,
            Ordering::Equal | Ordering::Greater => return None,
        };
        self.withdraw(key);
        Some(turn(self.insert(transfer.ends_at, transfer)))
    }

    /// Returns the transfer with the earliest due time among those ready to send a chunk.
    pub fn next(&self) -> Option<TransferKey> {
        self.waiting.first().copied()
    }

    /// Returns the size of a chunk in bytes.
    pub fn chunk_bytes(&self) -> usize {
        let bytes = CHUNK_TIME.as_secs_f64() * self.bytes_per_s;
        bytes.clamp(*CHUNK_BYTES_BOUNDS.start(), *CHUNK_BYTES_BOUNDS.end()) as usize
    }

    /// Records sent bytes of any response or request.
    pub fn record_sent(&mut self, now: Duration, bytes: u64) {
        self.queued_bytes = self.queued_bytes_at(now) + bytes as f64;
        self.updated_at = self.updated_at.max(now);
    }

    /// Records sent bytes of a reserved transfer.
    pub fn record_sent_of(&mut self, now: Duration, key: TransferKey, bytes: u64) {
        if let Some(transfer) = self.transfers.get_mut(&key) {
            transfer.bytes = (transfer.bytes - bytes as f64).max(0.0);
        }
        self.record_sent(now, bytes);
    }

    /// Removes a reservation, whether its transfer is complete or not.
    pub fn withdraw(&mut self, key: TransferKey) {
        self.transfers.remove(&key);
        self.waiting.remove(&key);
    }

    /// Returns the payload rate of the link in bytes per second.
    pub const fn bytes_per_s(&self) -> f64 {
        self.bytes_per_s
    }

    /// Returns the time that the link needs for all bytes queued or reserved.
    pub fn backlog(&self, now: Duration) -> Duration {
        self.transfer_time(
            self.queued_bytes_at(now)
                + self
                    .transfers
                    .values()
                    .map(|transfer| transfer.bytes)
                    .sum::<f64>(),
        )
    }

    fn transfer_time(&self, bytes: f64) -> Duration {
        let seconds = (bytes / self.bytes_per_s).min(TRANSFER_TIME_MAX_S);
        Duration::from_secs_f64(seconds)
    }

    fn queued_bytes_at(&self, now: Duration) -> f64 {
        let drained = now.saturating_sub(self.updated_at).as_secs_f64() * self.bytes_per_s;
        (self.queued_bytes - drained).max(0.0)
    }
}

/// Returns the time by which a response that is due at `due_at` is planned to arrive.
fn due_by(now: Duration, due_at: Duration) -> Duration {
    now + due_at.saturating_sub(now).mul_f64(DEADLINE_FRACTION)
}
