//! One member, and what this node has seen of it.

use std::time::Duration;

use smallvec::SmallVec;

use super::{
    LoadReport, MemberRecord, MemberState, MovingMean, StartOrder, member_distance::MemberDistance,
    member_outlook::MemberOutlook, service_pool::UsualRun,
};
use crate::store::Revision;

/// Weight of one answer in the mean failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
/// Time of a run assumed while no member has told one.
const RUN_UNKNOWN: Duration = Duration::from_millis(100);
/// Weight of one report in a member's pace beside the others.
const PACE_WEIGHT: f64 = 0.2;
/// Mean runs after which two thirds of what a member told of its load have
/// faded: it has turned over by then.
const NEWS_RUNS: f64 = 2.0;
/// Least time of that, in seconds.
const NEWS_MIN_S: f64 = 0.1;
/// How many times slower a cold member runs.
const COLD_FACTOR: f64 = 2.0;
/// Shortest time out after a failure to connect: a process is restarted within
/// about a second.
const OUT_FIRST: Duration = Duration::from_millis(500);
/// Longest time out; with it, a machine that is dark costs each node one
/// request in four seconds.
const OUT_MAX: Duration = Duration::from_secs(4);
/// Longest time for which a refusal for want of room on the link keeps long
/// answers away: a link that is spoken for carries two or three of them in it.
const LINK_REFUSED_MAX: Duration = Duration::from_millis(300);
/// Time for which a refusal for want of room on the link keeps long answers away from a
/// member in another data centre, while a member in this data centre can be asked.
const LINK_REFUSED_REMOTE: Duration = Duration::from_secs(5);
/// Longest time for which a refusal keeps new requests away. Queues turn over
/// in about one service time.
const REFUSED_MAX: Duration = Duration::from_millis(150);

/// One member, and what this node has seen of it.
#[derive(Debug)]
pub struct MemberView {
    /// What it announced.
    pub record: MemberRecord,
    distance: MemberDistance,
    pub(super) generation: u32,
    /// Whether its announcement vanished from the store without a farewell.
    pub(super) lapsed_at: Option<Duration>,
    /// Revision of the last news of its announcement.
    pub(super) revision: Revision,
    cold_until: Duration,
    outstanding: u32,
    load: Option<SeenLoad>,
    /// Seconds of a run of each class, as it told.
    runs: SmallVec<[(u64, f64); 4]>,
    /// Its runs, as a multiple of the usual.
    pace: MovingMean,
    failures: MovingMean,
    out_until: Duration,
    out_time: Duration,
    refused_until: Duration,
    link_refused_until: Duration,
    /// End of the longer hold that applies to remote members while a near one can be asked.
    remote_link_refused_until: Duration,
    served_at: Option<Duration>,
}

/// A load report and this node's own share in it.
#[derive(Debug, Clone, Copy)]
struct SeenLoad {
    report: LoadReport,
    outstanding: u32,
    at: Duration,
}

impl MemberView {
    /// Makes a view of a member that nothing is known of yet.
    pub(super) fn new(
        now: Duration,
        record: MemberRecord,
        distance: MemberDistance,
        generation: u32,
    ) -> Self {
        let cold_until = now + Duration::from_millis(record.cold_ms.into());
        // Its first answer, were it a failure, would say that all are.
        let mut failures = MovingMean::default();
        failures.observe(0.0, FAILURE_WEIGHT);
        Self {
            record,
            distance,
            generation,
            lapsed_at: None,
            revision: Revision(0),
            cold_until,
            outstanding: 0,
            load: None,
            runs: SmallVec::new(),
            pace: MovingMean::default(),
            failures,
            out_until: Duration::ZERO,
            out_time: Duration::ZERO,
            refused_until: Duration::ZERO,
            link_refused_until: Duration::ZERO,
            remote_link_refused_until: Duration::ZERO,
            served_at: None,
        }
    }

    /// Takes a new announcement; evidence against an earlier start is dropped.
    pub(super) fn announce(&mut self, now: Duration, record: MemberRecord) {
        self.lapsed_at = None;
        if record.start.order(&self.record.start) == StartOrder::Same {
            self.record = record;
            return;
        }
        let next = Self::new(now, record, self.distance, self.generation);
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

    /// Whether it is on this node's instance.
    pub(super) fn is_local(&self) -> bool {
        self.distance == MemberDistance::SameInstance
    }

    /// Whether it is in this node's data centre.
    pub(super) fn is_near(&self) -> bool {
        self.distance <= MemberDistance::SameDataCentre
    }

    /// Whether it can be given work at all.
    pub(super) fn takes_work(&self) -> bool {
        self.record.state == MemberState::Ready
    }

    /// Whether nothing speaks against giving it work now.
    pub(super) fn is_open(&self, now: Duration) -> bool {
        !self.is_out(now) && now >= self.refused_until
    }

    /// Whether it is left alone, as it couldn't be reached or had no backend server to
    /// give work to.
    pub(super) fn is_out(&self, now: Duration) -> bool {
        now < self.out_until
    }

    /// Time until long answers may be requested from it again after a refusal for want of
    /// room on its instance's link.
    ///
    /// The wait is longer for a remote member if a near one can be asked
    /// (`has_near_member`). When links are short in every data centre, remote callers would
    /// only displace callers in the member's data centre and add traffic between data
    /// centres, which is charged by the byte.
    pub(super) fn link_wait(&self, now: Duration, has_near_member: bool) -> Duration {
        let until = if has_near_member && !self.is_near() {
            self.remote_link_refused_until.max(self.link_refused_until)
        } else {
            self.link_refused_until
        };
        until.saturating_sub(now)
    }

    /// When it last answered.
    pub(super) const fn served_at(&self) -> Option<Duration> {
        self.served_at
    }

    /// Seconds that a run of `route_hash` takes here.
    pub(super) fn run_s(&self, now: Duration, route_hash: u64, usual: UsualRun) -> f64 {
        let told = self.runs.iter().find(|(known, _)| *known == route_hash);
        let usual = usual.run.unwrap_or(RUN_UNKNOWN).as_secs_f64();
        let run = told.map_or_else(|| usual * self.pace.get().unwrap_or(1.0), |(_, run)| *run);
        if now < self.cold_until {
            run * COLD_FACTOR
        } else {
            run
        }
    }

    /// Returns what a request of `route_hash` sent now would meet.
    pub(super) fn outlook(&self, now: Duration, route_hash: u64, usual: UsualRun) -> MemberOutlook {
        let run_s = self.run_s(now, route_hash, usual);
        let told = self.load.map(|load| load.report.service.as_secs_f64());
        let turn = told.filter(|&turn| turn > 0.0).unwrap_or(run_s);
        let slots = f64::from(self.record.slots.max(1));
        let held = self.held(now, usual.held);
        let queued = (held + 1.0 - slots).max(0.0) / slots;
        MemberOutlook {
            run_s,
            queue_s: turn * queued,
            fullness: (held / slots).min(1.0),
            failure_rate: self.failure_rate(),
        }
    }

    /// Seconds for which its instance's link is spoken for.
    pub(super) fn link_s(&self, now: Duration) -> f64 {
        let Some(load) = self.load else {
            return 0.0;
        };
        let left = load.report.link.saturating_sub(now.saturating_sub(load.at));
        left.as_secs_f64()
    }

    /// Share of its recent answers that were failures.
    pub(super) fn failure_rate(&self) -> f64 {
        self.failures.get().unwrap_or(0.0)
    }

    /// Requests that it holds, as far as this node can tell. What it told
    /// fades into what is usual at its service, `usual` for each slot.
    fn held(&self, now: Duration, usual: f64) -> f64 {
        let own = f64::from(self.outstanding);
        let Some(load) = self.load else {
            return own;
        };
        let age = now.saturating_sub(load.at).as_secs_f64();
        let lasts = (load.report.service.as_secs_f64() * NEWS_RUNS).max(NEWS_MIN_S);
        let kept = (-age / lasts).exp();
        let told = f64::from(load.report.running + load.report.waiting);
        let usual = usual * f64::from(self.record.slots);
        let since = f64::from(self.outstanding.saturating_sub(load.outstanding));
        (told * kept + usual * (1.0 - kept) + since).max(own)
    }

    pub(super) fn request_sent(&mut self) {
        self.outstanding += 1;
    }

    pub(super) fn request_ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Takes in the load that came with an answer to a request of `route_hash`;
    /// `usual` is the fleet's time of such a run.
    pub(super) fn record_load(
        &mut self,
        now: Duration,
        route_hash: u64,
        report: LoadReport,
        usual: Option<f64>,
    ) {
        let outstanding = self.outstanding;
        self.load = Some(SeenLoad {
            report,
            outstanding,
            at: now,
        });
        let run = report.run.as_secs_f64();
        if run <= 0.0 {
            return;
        }
        match self.runs.iter_mut().find(|(known, _)| *known == route_hash) {
            Some((_, told)) => *told = run,
            None => self.runs.push((route_hash, run)),
        }
        if let Some(usual) = usual {
            self.pace.observe(run / usual, PACE_WEIGHT);
        }
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

    /// Keeps work away as from one that can't be reached.
    ///
    /// When a backend server is gone and the node beside it lives on, that node refuses
    /// at once and holds nothing. It looks like the member with the least load, and each
    /// refusal costs a request one of its few tries. It stays out for a time that
    /// doubles; another start that is announced ends that at once.
    pub(super) fn shut(&mut self, now: Duration) {
        self.served_at = Some(now);
        self.unreachable(now);
    }

    pub(super) fn link_refused(&mut self, now: Duration, retry_after: Duration) {
        self.link_refused_until = now + retry_after.min(LINK_REFUSED_MAX);
        self.remote_link_refused_until = now + LINK_REFUSED_REMOTE;
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
