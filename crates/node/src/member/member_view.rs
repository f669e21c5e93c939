//! One member, with what this node has observed of it.

use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    EndpointStart, LoadReport, MemberRecord, MemberState, MovingMean, StartOrder,
    member_distance::MemberDistance, member_estimate::MemberEstimate,
    service_pool::ServiceAverages,
};
use crate::{rate_limit::RequestRate, store::Revision};

/// Weight of one response in a member's mean failure rate.
const FAILURE_WEIGHT: f64 = 0.1;
/// Run time that is assumed while no member has reported one.
const UNKNOWN_RUN_TIME: Duration = Duration::from_millis(100);
/// Weight of one load report in a member's mean run-time ratio.
const RUN_RATIO_WEIGHT: f64 = 0.2;
/// Time constant of the decay of a reported load, in mean run times: after it, the report
/// weighs about one third. By then the member's requests have been replaced by others.
const LOAD_DECAY_RUNS: f64 = 2.0;
/// Shortest time constant of the decay of a reported load, in seconds.
const LOAD_DECAY_MIN_S: f64 = 0.1;
/// Factor on the run time of a member that is still slow after its start.
const COLD_FACTOR: f64 = 2.0;
/// Shortest ejection after a failure to connect. A process is restarted within about a
/// second.
const EJECTION_MIN: Duration = Duration::from_millis(500);
/// Longest ejection. With it, a machine without power costs each node one request in four
/// seconds.
const EJECTION_MAX: Duration = Duration::from_secs(4);
/// Longest pause of long responses after a refusal because of a full link. A full link
/// transfers two or three long responses in that time.
const LINK_REFUSAL_PAUSE_MAX: Duration = Duration::from_millis(300);
/// Pause of long responses from another data centre after a refusal because of a full link.
///
/// It applies while a member in this data centre can be asked.
const REMOTE_LINK_REFUSAL_PAUSE: Duration = Duration::from_secs(5);
/// Longest time for which a refusal because of a limit keeps new requests away.
const LIMIT_REFUSAL_PAUSE_MAX: Duration = Duration::from_secs(1);
/// Longest time for which a refusal keeps new requests away. The requests in a queue are
/// replaced by others within about one mean run time.
const REFUSAL_PAUSE_MAX: Duration = Duration::from_millis(150);

/// Largest expected wait by a limit in seconds. With a limit near zero, the backend server gets a
/// request every few seconds at most.
const LIMIT_WAIT_MAX_S: f64 = 10.0;

/// One member, with what this node has observed of it.
#[derive(Debug)]
pub struct MemberView {
    /// Last announcement of the member.
    pub record: MemberRecord,
    distance: MemberDistance,
    pub(super) generation: u32,
    /// Whether the present start has said in a response that it leaves.
    pub(super) has_left: bool,
    /// When the announcement lapsed; none while it is in the store.
    pub(super) lapsed_at: Option<Duration>,
    /// Revision of the last change of the announcement.
    pub(super) revision: Revision,
    /// Revision of the last change that other nodes have to learn. An announcement that is written
    /// again under another lease is none.
    pub(super) changed_at: Revision,
    /// Hash of the address, by which all nodes order relay candidates with equal links.
    pub(super) relay_hash: u64,
    cold_until: Duration,
    /// When the present start was first announced to this node.
    announced_at: Duration,
    /// Number of this node's requests in flight at the member.
    outstanding: u32,
    load: Option<ObservedLoad>,
    /// Run times in seconds that the member reported, at the usual pace, by route hash.
    runs: SmallVec<[(u64, f64); 4]>,
    /// Mean ratio of the member's run times to those of all members on the same routes.
    run_time_ratio: MovingMean,
    /// Moving share of the tries that failed or whose response was lost; starts at 0.
    failures: MovingMean,
    ejected_until: Duration,
    ejection_time: Duration,
    refused_until: Duration,
    /// End of the pause of new requests after a refusal because of the backend server's limit.
    limit_refused_until: Duration,
    link_refused_until: Duration,
    /// End of the pause of long responses if the member is in another data centre.
    ///
    /// It applies while a member in this data centre can be asked.
    remote_link_refused_until: Duration,
    /// Time of the last response or refusal.
    responded_at: Option<Duration>,
}

/// A load report, with this node's outstanding requests when it arrived.
#[derive(Debug, Clone, Copy)]
struct ObservedLoad {
    report: LoadReport,
    outstanding: u32,
    at: Duration,
}

impl MemberView {
    /// Creates a view of a newly announced member.
    pub(super) fn new(
        now: Duration,
        record: MemberRecord,
        distance: MemberDistance,
        generation: u32,
    ) -> Self {
        let cold_until = now + Duration::from_millis(record.cold_ms.into());
        let relay_hash = xxh3_64(record.peer_addr.to_string().as_bytes());
        // Without a first success, a failure as the first response would make the failure
        // rate 1.
        let mut failures = MovingMean::default();
        failures.observe(0.0, FAILURE_WEIGHT);
        Self {
            record,
            distance,
            generation,
            has_left: false,
            lapsed_at: None,
            revision: Revision(0),
            changed_at: Revision(0),
            relay_hash,
            cold_until,
            announced_at: now,
            outstanding: 0,
            load: None,
            runs: SmallVec::new(),
            run_time_ratio: MovingMean::default(),
            failures,
            ejected_until: Duration::ZERO,
            ejection_time: Duration::ZERO,
            refused_until: Duration::ZERO,
            limit_refused_until: Duration::ZERO,
            link_refused_until: Duration::ZERO,
            remote_link_refused_until: Duration::ZERO,
            responded_at: None,
        }
    }

    /// Applies a new announcement.
    ///
    /// If the announcement is of another start, all observations of the earlier one are discarded.
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
            changed_at: self.changed_at,
            ..next
        };
    }

    /// Marks the announcement as missing and returns whether that is new.
    pub(super) fn lapse(&mut self, now: Duration, revision: Revision) -> bool {
        if revision < self.revision || self.lapsed_at.is_some() {
            return false;
        }
        self.revision = revision;
        self.changed_at = revision;
        self.lapsed_at = Some(now);
        true
    }

    /// Returns when the present start was first announced to this node.
    pub(super) const fn announced_at(&self) -> Duration {
        self.announced_at
    }

    /// Whether the backend server is still slow after its start.
    pub(super) fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Whether the member's announcement is missing from the store.
    pub const fn has_lapsed(&self) -> bool {
        self.lapsed_at.is_some()
    }

    /// Returns the revision of the last change of the member's announcement.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Whether the member is on this node's instance.
    pub(super) fn is_local(&self) -> bool {
        self.distance == MemberDistance::SameInstance
    }

    /// Whether the member is in this node's data centre.
    pub(super) fn is_near(&self) -> bool {
        self.distance <= MemberDistance::SameDataCentre
    }

    /// Whether the member is announced as taking requests, and hasn't said itself that it leaves.
    pub(super) fn takes_requests(&self) -> bool {
        self.record.state == MemberState::Ready && !self.record.suspended && !self.has_left
    }

    /// Whether the member is neither ejected nor in the pause after a refusal.
    pub(super) fn is_available(&self, now: Duration) -> bool {
        !self.is_ejected(now) && now >= self.refused_until.max(self.limit_refused_until)
    }

    /// Whether the member is ejected: it couldn't be reached, was silent, or had no backend
    /// server that takes requests.
    pub(super) fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Returns the time until long responses may be requested again.
    ///
    /// The time is zero unless the member refused one because its instance's link was full. The
    /// wait is longer for a member in another data centre if one in this data centre can be asked
    /// (`has_near_member`). When links are full in every data centre, remote callers would only
    /// displace callers in the member's data centre and add traffic between data centres, which is
    /// charged by the byte.
    pub(super) fn link_wait(&self, now: Duration, has_near_member: bool) -> Duration {
        let until = if has_near_member && !self.is_near() {
            self.remote_link_refused_until.max(self.link_refused_until)
        } else {
            self.link_refused_until
        };
        until.saturating_sub(now)
    }

    /// Returns the time until the member's limit is expected to have room, after a refusal because
    /// of it.
    pub(super) const fn limit_pause(&self, now: Duration) -> Duration {
        self.limit_refused_until.saturating_sub(now)
    }

    /// Returns the limit that the backend server's start `start` is known to name.
    pub fn known_limit(&self, start: &EndpointStart) -> Option<RequestRate> {
        if self.record.start.order(start) != StartOrder::Same {
            return None;
        }
        Some(self.load?.report.limit?.rate)
    }

    /// Returns the seconds that the backend server's limit delays a request that is sent now.
    fn limit_wait_s(&self, now: Duration) -> f64 {
        let Some(load) = self.load else {
            return 0.0;
        };
        let Some(limit) = load.report.limit else {
            return 0.0;
        };
        let sent_since = self.outstanding.saturating_sub(load.outstanding);
        let wait_s = limit.wait.as_secs_f64()
            + f64::from(sent_since) / limit.rate.per_second().max(f64::EPSILON);
        (wait_s - now.saturating_sub(load.at).as_secs_f64()).clamp(0.0, LIMIT_WAIT_MAX_S)
    }

    /// Returns the requests per second of `route_hash` that the member can run.
    pub(super) fn throughput(
        &self,
        now: Duration,
        route_hash: u64,
        averages: ServiceAverages,
    ) -> f64 {
        let by_slots = f64::from(self.record.slots.max(1)) / self.run_s(now, route_hash, averages);
        let limit = self.load.and_then(|load| load.report.limit);
        limit.map_or(by_slots, |limit| by_slots.min(limit.rate.per_second()))
    }

    /// Returns when the member last responded or refused; none if it never did.
    pub(super) const fn responded_at(&self) -> Option<Duration> {
        self.responded_at
    }

    /// Returns the expected run time of `route_hash` at the member in seconds.
    pub(super) fn run_s(&self, now: Duration, route_hash: u64, averages: ServiceAverages) -> f64 {
        let reported = self.runs.iter().find(|(known, _)| *known == route_hash);
        let mean = averages
            .route_run_time
            .unwrap_or(UNKNOWN_RUN_TIME)
            .as_secs_f64();
        let run = reported.map_or_else(
            || mean * self.run_time_ratio.get().unwrap_or(1.0),
            |(_, run)| *run,
        ) * self.pace_factor(now);
        if self.is_cold(now) {
            run * COLD_FACTOR
        } else {
            run
        }
    }

    /// Returns the run times expected now as a multiple of those at the usual pace. The reported pace
    /// is out of date within some tenths of a second.
    fn pace_factor(&self, now: Duration) -> f64 {
        let reported = self
            .load
            .and_then(|load| Some((load.report.pace?, load.at)));
        reported.map_or(1.0, |(pace, at)| pace.factor_after(now.saturating_sub(at)))
    }

    /// Returns the estimate for a request of `route_hash` that is sent now.
    pub(super) fn estimate(
        &self,
        now: Duration,
        route_hash: u64,
        averages: ServiceAverages,
    ) -> MemberEstimate {
        let run_s = self.run_s(now, route_hash, averages);
        let reported = self
            .load
            .map(|load| load.report.base_mean_run_s() * self.pace_factor(now));
        let mean_run_s = reported.filter(|&run_s| run_s > 0.0).unwrap_or(run_s);
        let slots = f64::from(self.record.slots.max(1));
        let held = self.held(now, averages.requests_per_slot);
        let queued_per_slot = (held + 1.0 - slots).max(0.0) / slots;
        MemberEstimate {
            run_s,
            queue_s: (mean_run_s * queued_per_slot).max(self.limit_wait_s(now)),
            occupancy: (held / slots).min(1.0),
            failure_rate: self.failure_rate(),
        }
    }

    /// Returns the seconds that the instance's link needs for responses already admitted.
    pub(super) fn link_backlog_s(&self, now: Duration) -> f64 {
        let Some(load) = self.load else {
            return 0.0;
        };
        let remaining = load
            .report
            .link_backlog
            .saturating_sub(now.saturating_sub(load.at));
        remaining.as_secs_f64()
    }

    /// Returns the share of recent tries at the member that failed or whose response was lost.
    pub(super) fn failure_rate(&self) -> f64 {
        self.failures.get().unwrap_or(0.0)
    }

    /// Estimates the number of requests at the member, running or queued.
    ///
    /// The reported number decays towards the mean of the service, `mean_requests_per_slot`.
    fn held(&self, now: Duration, mean_requests_per_slot: f64) -> f64 {
        let own_requests = f64::from(self.outstanding);
        let Some(load) = self.load else {
            return own_requests;
        };
        let age = now.saturating_sub(load.at).as_secs_f64();
        let decay_s =
            (load.report.mean_run_time.as_secs_f64() * LOAD_DECAY_RUNS).max(LOAD_DECAY_MIN_S);
        let weight = (-age / decay_s).exp();
        let reported = f64::from(load.report.running + load.report.waiting);
        let mean = mean_requests_per_slot * f64::from(self.record.slots);
        let since = f64::from(self.outstanding.saturating_sub(load.outstanding));
        (reported * weight + mean * (1.0 - weight) + since).max(own_requests)
    }

    pub(super) fn record_request_sent(&mut self) {
        self.outstanding += 1;
    }

    pub(super) fn record_request_ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Records a load report that came with a response to a request of `route_hash`.
    ///
    /// `mean_run_s` is the mean run time of the route over all members in seconds.
    pub(super) fn record_load(
        &mut self,
        now: Duration,
        route_hash: u64,
        report: LoadReport,
        mean_run_s: Option<f64>,
    ) {
        let outstanding = self.outstanding;
        self.load = Some(ObservedLoad {
            report,
            outstanding,
            at: now,
        });
        let run = report.base_route_run_s();
        if run <= 0.0 {
            return;
        }
        match self.runs.iter_mut().find(|(known, _)| *known == route_hash) {
            Some((_, reported)) => *reported = run,
            None => self.runs.push((route_hash, run)),
        }
        if let Some(mean_run_s) = mean_run_s {
            self.run_time_ratio
                .observe(run / mean_run_s, RUN_RATIO_WEIGHT);
        }
    }

    /// Records the head of a response whose body is still to arrive.
    pub(super) const fn record_response_head(&mut self, now: Duration) {
        self.responded_at = Some(now);
    }

    pub(super) fn record_answered(&mut self, now: Duration, failed: bool) {
        self.failures
            .observe(f64::from(u8::from(failed)), FAILURE_WEIGHT);
        self.ejection_time = Duration::ZERO;
        self.ejected_until = Duration::ZERO;
        self.responded_at = Some(now);
    }

    pub(super) fn record_refused(&mut self, now: Duration, retry_after: Duration) {
        self.refused_until = now + retry_after.min(REFUSAL_PAUSE_MAX);
        self.responded_at = Some(now);
        self.ejection_time = Duration::ZERO;
    }

    pub(super) fn record_limit_refused(&mut self, now: Duration, retry_after: Duration) {
        self.limit_refused_until = now + retry_after.min(LIMIT_REFUSAL_PAUSE_MAX);
        self.responded_at = Some(now);
        self.ejection_time = Duration::ZERO;
    }

    /// Ejects a member without a backend server, like one that can't be reached.
    ///
    /// When a backend server is gone and its node is alive, that node refuses at once and
    /// holds no requests. It looks like the member with the lowest load, and each refusal
    /// costs a request one of its few tries. The ejection time doubles; an announcement of
    /// another start ends the ejection at once.
    pub(super) fn record_no_backend(&mut self, now: Duration) {
        self.responded_at = Some(now);
        self.record_unreachable(now);
    }

    pub(super) fn record_link_refused(&mut self, now: Duration, retry_after: Duration) {
        self.link_refused_until = now + retry_after.min(LINK_REFUSAL_PAUSE_MAX);
        self.remote_link_refused_until = now + REMOTE_LINK_REFUSAL_PAUSE;
        self.responded_at = Some(now);
        self.ejection_time = Duration::ZERO;
    }

    pub(super) fn record_response_lost(&mut self) {
        self.failures.observe(1.0, FAILURE_WEIGHT);
    }

    /// Ejects the member for a time that doubles with each failure in a row.
    pub(super) fn record_unreachable(&mut self, now: Duration) {
        if now < self.ejected_until {
            return;
        }
        self.ejection_time = (self.ejection_time * 2).clamp(EJECTION_MIN, EJECTION_MAX);
        self.ejected_until = now + self.ejection_time;
    }
}
