//! One member, and what this node has seen of it.

use std::time::Duration;

use super::{LoadReport, MemberRecord, MemberState, MovingMean};
use crate::store::Revision;

/// Weight of one answer in the mean failure rate: after ten answers, two
/// thirds of the mean are theirs, about a second's worth at today's rates.
const FAILURE_WEIGHT: f64 = 0.1;
/// Service time assumed of a member that has told none.
const SERVICE_UNKNOWN: Duration = Duration::from_millis(100);
/// How many times slower a cold member runs.
const COLD_FACTOR: f64 = 2.0;
/// Cost, as a share of the service time, of the last slot compared with the
/// first: backend servers slow down when they are nearly full.
const FULLNESS_COST: f64 = 0.5;
/// Cost of a failure that a pick risks: about what the second try takes.
const FAILURE_COST_S: f64 = 0.5;
/// Shortest time out after a failure to connect: a process is restarted within
/// about a second.
const OUT_FIRST: Duration = Duration::from_millis(500);
/// Longest time out; with it, a machine that is dark costs each node one
/// request in four seconds.
const OUT_MAX: Duration = Duration::from_secs(4);
/// Longest time for which a refusal for want of room on the link keeps long
/// answers away: a link that is spoken for carries two or three of them in it.
const LINK_REFUSED_MAX: Duration = Duration::from_millis(300);
/// Longest time for which a refusal keeps new requests away. Queues turn over
/// in about one service time.
const REFUSED_MAX: Duration = Duration::from_millis(150);

/// One member, and what this node has seen of it.
#[derive(Debug)]
pub struct MemberView {
    /// What it announced.
    pub record: MemberRecord,
    /// Whether it stands in this node's data centre.
    pub(super) near: bool,
    pub(super) generation: u32,
    /// Whether its announcement vanished from the store without a farewell.
    pub(super) lapsed_at: Option<Duration>,
    /// Revision of the last news of its announcement.
    pub(super) revision: Revision,
    cold_until: Duration,
    outstanding: u32,
    load: Option<SeenLoad>,
    failures: MovingMean,
    out_until: Duration,
    out_time: Duration,
    refused_until: Duration,
    link_refused_until: Duration,
    served_at: Option<Duration>,
}

/// A load report and this node's own share in it.
#[derive(Debug, Clone, Copy)]
struct SeenLoad {
    report: LoadReport,
    outstanding: u32,
}

impl MemberView {
    /// Makes a view of a member that nothing is known of yet.
    pub(super) fn new(now: Duration, record: MemberRecord, near: bool, generation: u32) -> Self {
        let cold_until = now + Duration::from_millis(record.cold_ms.into());
        Self {
            record,
            near,
            generation,
            lapsed_at: None,
            revision: Revision(0),
            cold_until,
            outstanding: 0,
            load: None,
            failures: MovingMean::default(),
            out_until: Duration::ZERO,
            out_time: Duration::ZERO,
            refused_until: Duration::ZERO,
            link_refused_until: Duration::ZERO,
            served_at: None,
        }
    }

    /// Takes a new announcement; evidence against an earlier start is dropped.
    pub(super) fn announce(&mut self, now: Duration, record: MemberRecord) {
        self.lapsed_at = None;
        if record.instance == self.record.instance {
            self.record = record;
            return;
        }
        let next = Self::new(now, record, self.near, self.generation);
        *self = Self {
            outstanding: self.outstanding,
            revision: self.revision,
            ..next
        };
    }

    /// Takes in that its announcement is missing, and returns whether that is
    /// news.
    pub(super) fn lapse(&mut self, now: Duration, revision: Revision) -> bool {
        if revision < self.revision || self.lapsed_at.is_some() {
            return false;
        }
        self.revision = revision;
        self.lapsed_at = Some(now);
        true
    }

    /// Whether its announcement is missing.
    pub const fn has_lapsed(&self) -> bool {
        self.lapsed_at.is_some()
    }

    /// Revision of the last news of its announcement.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether it can be given work at all.
    pub(super) fn takes_work(&self) -> bool {
        self.record.state == MemberState::Ready
    }

    /// Whether nothing speaks against giving it work now.
    pub(super) fn is_open(&self, now: Duration) -> bool {
        now >= self.out_until && now >= self.refused_until
    }

    /// Whether its instance's link has room for a long answer, as far as is
    /// known.
    pub(super) fn has_link(&self, now: Duration) -> bool {
        now >= self.link_refused_until
    }

    /// Time until its instance's link is expected to have room.
    pub(super) const fn link_wait(&self, now: Duration) -> Duration {
        self.link_refused_until.saturating_sub(now)
    }

    /// When it last answered.
    pub(super) const fn served_at(&self) -> Option<Duration> {
        self.served_at
    }

    /// Seconds after which a request sent now would be answered, with the
    /// risks counted in.
    pub(super) fn expected_s(&self, now: Duration) -> f64 {
        let told = self.load.map(|load| load.report.service);
        let told = told.filter(|service| !service.is_zero());
        let mut service = told.unwrap_or(SERVICE_UNKNOWN).as_secs_f64();
        if now < self.cold_until {
            service *= COLD_FACTOR;
        }
        let slots = f64::from(self.record.slots.max(1));
        let held = f64::from(self.held());
        let queued = (held + 1.0 - slots).max(0.0) / slots;
        let fullness = (held / slots).min(1.0);
        let failures = self.failure_rate();
        service * (1.0 + queued + FULLNESS_COST * fullness) + failures * FAILURE_COST_S
    }

    /// Share of its recent answers that were failures.
    pub(super) fn failure_rate(&self) -> f64 {
        self.failures.get().unwrap_or(0.0)
    }

    /// Requests that it holds, as far as this node can tell.
    fn held(&self) -> u32 {
        let Some(load) = self.load else {
            return self.outstanding;
        };
        let told = load.report.running + load.report.waiting;
        let since = self.outstanding.saturating_sub(load.outstanding);
        (told + since).max(self.outstanding)
    }

    pub(super) fn sent(&mut self) {
        self.outstanding += 1;
    }

    pub(super) fn ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Takes in the load that came with an answer or a refusal.
    pub(super) fn loaded(&mut self, report: LoadReport) {
        let outstanding = self.outstanding;
        self.load = Some(SeenLoad {
            report,
            outstanding,
        });
    }

    pub(super) fn answered(&mut self, now: Duration, failed: bool) {
        self.failures
            .observe(f64::from(u8::from(failed)), FAILURE_WEIGHT);
        self.out_time = Duration::ZERO;
        self.out_until = Duration::ZERO;
        self.served_at = Some(now);
    }

    pub(super) fn refused(&mut self, now: Duration, retry_after: Duration) {
        self.refused_until = now + retry_after.min(REFUSED_MAX);
        self.served_at = Some(now);
        self.out_time = Duration::ZERO;
    }

    pub(super) fn link_refused(&mut self, now: Duration, retry_after: Duration) {
        self.link_refused_until = now + retry_after.min(LINK_REFUSED_MAX);
        self.served_at = Some(now);
        self.out_time = Duration::ZERO;
    }

    pub(super) fn broke(&mut self) {
        self.failures.observe(1.0, FAILURE_WEIGHT);
    }

    /// Keeps work away for a time that doubles with each failure in a row.
    pub(super) fn unreachable(&mut self, now: Duration) {
        if now < self.out_until {
            return;
        }
        self.out_time = (self.out_time * 2).clamp(OUT_FIRST, OUT_MAX);
        self.out_until = now + self.out_time;
    }
}
