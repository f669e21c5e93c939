//! Time out of rotation for slow and breaking backend servers.

use std::time::Duration;

/// First time out. Five seconds outlast a garbage collection or a failover
/// of connections, and cost little when the ejection was wrong.
const FIRST_HOLD: Duration = Duration::from_secs(5);
/// Longest time out: a mended backend server is back within a minute.
const HOLD_MAX: Duration = Duration::from_secs(60);
/// Good time after which an earlier ejection is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// Why a backend server was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EjectionCause {
    /// Its answers are far slower than its neighbours'.
    Slow,
    /// Requests to it break, time out or find no connection.
    Breaking,
}

/// One backend server's ejection, if any.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EjectionState {
    cause: Option<EjectionCause>,
    until: Duration,
    rounds: u32,
    probe_sent: Option<Duration>,
}

impl EjectionState {
    /// Ejects for a time that doubles with each round in a row.
    pub(super) fn eject(&mut self, now: Duration, cause: EjectionCause) {
        if self.cause.is_none() && now.saturating_sub(self.until) > FORGET_AFTER {
            self.rounds = 0;
        }
        let hold = FIRST_HOLD.saturating_mul(1 << self.rounds.min(8));
        self.rounds += 1;
        self.cause = Some(cause);
        self.until = now + hold.min(HOLD_MAX);
        self.probe_sent = None;
    }

    /// Puts the backend server back into rotation.
    pub(super) fn reinstate(&mut self, now: Duration) {
        self.cause = None;
        self.until = now;
        self.probe_sent = None;
    }

    /// Returns the cause while ejected.
    pub(super) const fn cause(&self) -> Option<EjectionCause> {
        self.cause
    }

    /// Reports whether a probe may be sent: the time is up and none is out.
    pub(super) fn may_probe(&self, now: Duration) -> bool {
        self.cause.is_some() && now >= self.until && self.probe_sent.is_none()
    }

    /// Notes a request that was sent; the first after the hold is the probe.
    pub(super) fn sent(&mut self, now: Duration) {
        if self.may_probe(now) {
            self.probe_sent = Some(now);
        }
    }

    /// Lets another request be the probe.
    pub(super) fn probe_again(&mut self) {
        self.probe_sent = None;
    }

    /// Reports whether a request of this latency that ends now is the probe.
    ///
    /// Guards against the answer to a request from before the ejection, which
    /// comes late because the backend server is slow: it would end the probe
    /// before the probe is answered.
    pub(super) fn ends_probe(&self, now: Duration, latency: Duration) -> bool {
        let sent = now.saturating_sub(latency);
        self.probe_sent.is_some_and(|probe| sent >= probe)
    }
}
