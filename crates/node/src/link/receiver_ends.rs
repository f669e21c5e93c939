//! Ends of nodes, by which transfers are bounded.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

/// Time after a notice in which requests of the stopping node may still arrive that it sent with
/// the deadlines of their callers.
const OVERTAKING_TIME: Duration = Duration::from_millis(500);

/// End of another node.
#[derive(Debug, Clone, Copy)]
struct ReceiverEnd {
    /// Time at which this node learned of the end.
    noticed_at: Duration,
    ends_at: Duration,
}

/// Ends of this node and of nodes that receive its responses.
///
/// A response is of no use after the end of the node that sends it or of the one that relays it,
/// whatever time its caller has.
#[derive(Debug, Default)]
pub struct ReceiverEnds {
    own_end: Option<Duration>,
    by_addr: HashMap<SocketAddr, ReceiverEnd>,
}

impl ReceiverEnds {
    /// Records when this node ends.
    pub const fn record_own_end(&mut self, ends_at: Duration) {
        self.own_end = Some(ends_at);
    }

    /// Records when the node at `receiver` ends.
    pub fn record_end(&mut self, now: Duration, receiver: SocketAddr, ends_at: Duration) {
        self.by_addr.retain(|_, end| end.ends_at > now);
        let end = ReceiverEnd {
            noticed_at: now,
            ends_at,
        };
        self.by_addr.insert(receiver, end);
    }

    /// Returns the end of a response that would otherwise end at `ends_at`.
    ///
    /// A receiver's end counts for requests that had arrived when it was noticed. A later request
    /// may come from the next process at that address, and has the right deadline anyway.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::link::ReceiverEnds;
    ///
    /// let [arrived_at, noticed_at, restarted_at, end] = [1, 2, 4, 7].map(Duration::from_secs);
    /// let receiver = "10.1.0.4:7600".parse()?;
    /// let mut ends = ReceiverEnds::default();
    /// ends.record_end(noticed_at, receiver, end);
    /// let deadline = Duration::from_secs(9);
    /// assert_eq!(ends.bound(Some(receiver), arrived_at, deadline), end);
    /// assert_eq!(ends.bound(Some(receiver), restarted_at, deadline), deadline);
    /// assert_eq!(ends.bound(None, arrived_at, deadline), deadline);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn bound(
        &self,
        receiver: Option<SocketAddr>,
        arrived_at: Duration,
        ends_at: Duration,
    ) -> Duration {
        let end = receiver.and_then(|receiver| self.by_addr.get(&receiver));
        let end = end.filter(|end| arrived_at <= end.noticed_at + OVERTAKING_TIME);
        let ends = [end.map(|end| end.ends_at), self.own_end];
        ends.into_iter().flatten().fold(ends_at, Duration::min)
    }
}
