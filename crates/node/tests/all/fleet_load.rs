//! The choice among members under load, beside the best of all that a node
//! knows, by what callers get.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use geranium_node::{
    inbound::{AdmissionDecision, AdmissionQueue, AdmissionRequest, QueueKey},
    member::{FleetView, LoadReport, MemberKey, MemberRecord, MemberState, PickQuery, TryOutcome},
    store::Revision,
};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

use crate::support::start;

const FRONTS: usize = 60;
const DOORS: usize = 30;
const SLOTS: u32 = 9;
const TARGET: Duration = Duration::from_millis(600);
const STEP: Duration = Duration::from_millis(1);
const LENGTH: Duration = Duration::from_secs(12);
/// Part of the capacity that is asked for on a busy day.
const BUSY: f64 = 0.86;
/// Members probed, and members asked in all, as by the front of a node.
const PROBES: usize = 1;
const TRIES: usize = 3;
const CLASS: u64 = 1;

/// How a front chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Picker {
    /// As the node does.
    Node,
    /// The least wait of all that it knows, asked to queue it.
    BestKnown,
}

/// What callers got.
#[derive(Debug, Clone, Copy, Default)]
struct LoadResult {
    offered: u32,
    in_time: u32,
    refused: u32,
    /// Members asked, probes among them.
    asked: u32,
    /// Runs in another data centre than the caller's.
    far: u32,
}

impl LoadResult {
    fn share_in_time(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered)
    }

    fn asked_each(self) -> f64 {
        f64::from(self.asked) / f64::from(self.offered)
    }

    fn share_far(self) -> f64 {
        f64::from(self.far) / f64::from(self.offered)
    }
}

/// A request of one front.
#[derive(Debug, Clone, Copy)]
struct Request {
    sender: usize,
    receiver: usize,
    key: MemberKey,
    target_at: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    request: Request,
    began: Duration,
    ends_at: Duration,
}

/// One backend server, and the queue of the node beside it.
struct Door {
    queue: AdmissionQueue,
    work: Duration,
    running: Vec<Run>,
    waiting: HashMap<QueueKey, (Request, Duration)>,
    /// Whether its backend server is gone, and the node beside it lives on.
    shut: bool,
}

impl Door {
    fn report(&self) -> LoadReport {
        LoadReport {
            running: self.queue.running(),
            waiting: self.queue.waiting(),
            service: self.queue.service(),
            run: self.queue.service_of(CLASS),
            link: Duration::ZERO,
        }
    }
}

fn peer_addr(receiver: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, receiver as u8 + 1], 7600))
}

/// Returns the data centre of a front or door.
fn place(number: usize, data_centres: usize) -> String {
    format!("dc-{}", number % data_centres)
}

fn record(receiver: usize, data_centres: usize) -> MemberRecord {
    MemberRecord {
        peer_addr: peer_addr(receiver),
        start: start(format!("i-{receiver}")),
        service: "orders".to_owned(),
        data_centre: place(receiver, data_centres),
        slots: SLOTS,
        state: MemberState::Ready,
        link_mbps: 100,
        cold_ms: 0,
        sequence: 1,
    }
}

struct Fleet {
    picker: Picker,
    /// Part of the capacity of all servers that is asked for.
    load: f64,
    data_centres: usize,
    /// Share of the requests that callers of the first data centre send beyond their
    /// even part.
    crowd: f64,
    /// What fronts take a refusal of a node without a backend server for.
    shut_end: TryOutcome,
    rng: StdRng,
    senders: Vec<FleetView>,
    /// What each front last heard of each door.
    heard: Vec<HashMap<usize, LoadReport>>,
    receivers: Vec<Door>,
    result: LoadResult,
}

impl Fleet {
    fn new(picker: Picker, load: f64) -> Self {
        Self::spread(picker, load, 1)
    }

    /// Makes a fleet whose fronts and doors are spread over data centres evenly.
    fn spread(picker: Picker, load: f64, data_centres: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(23);
        let senders = (0..FRONTS).map(|sender| {
            let mut view = FleetView::new(place(sender, data_centres));
            for receiver in 0..DOORS {
                let record = record(receiver, data_centres);
                view.announce(Duration::ZERO, record, Revision(receiver as u64 + 1));
            }
            view
        });
        // The slowest takes three times as long as the fastest.
        let receivers = (0..DOORS).map(|_| Door {
            queue: AdmissionQueue::new(SLOTS),
            work: Duration::from_millis(rng.random_range(120..360)),
            running: Vec::new(),
            waiting: HashMap::new(),
            shut: false,
        });
        let (senders, receivers) = (senders.collect(), receivers.collect());
        Self {
            picker,
            load,
            data_centres,
            crowd: 0.0,
            shut_end: TryOutcome::NoBackend,
            senders,
            heard: vec![HashMap::new(); FRONTS],
            receivers,
            result: LoadResult::default(),
            rng,
        }
    }

    /// Takes the backend servers of the last `count` doors away.
    fn shut(mut self, count: usize, shut_end: TryOutcome) -> Self {
        for receiver in &mut self.receivers[DOORS - count..] {
            receiver.shut = true;
        }
        self.shut_end = shut_end;
        self
    }

    /// Sends a part of the requests from the first data centre instead of evenly.
    fn crowded(mut self, crowd: f64) -> Self {
        self.crowd = crowd;
        self
    }

    fn draw_front(&mut self) -> usize {
        let sender = self.rng.random_range(0..FRONTS);
        if self.crowd > 0.0 && self.rng.random_bool(self.crowd) {
            sender - sender % self.data_centres
        } else {
            sender
        }
    }

    fn per_second(&self) -> f64 {
        let rates = self
            .receivers
            .iter()
            .map(|receiver| 1.0 / receiver.work.as_secs_f64());
        rates.sum::<f64>() * f64::from(SLOTS) * self.load
    }

    fn play(mut self) -> LoadResult {
        let arrivals = self.per_second() * STEP.as_secs_f64();
        let mut now = Duration::ZERO;
        while now < LENGTH {
            self.end_runs(now);
            let mut due = arrivals;
            while due > 0.0 {
                if self.rng.random::<f64>() < due {
                    self.ask(now);
                }
                due -= 1.0;
            }
            now += STEP;
        }
        self.result
    }

    fn end_runs(&mut self, now: Duration) {
        for receiver in 0..DOORS {
            let running = std::mem::take(&mut self.receivers[receiver].running);
            let (request_ended, running): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|run| run.ends_at <= now);
            self.receivers[receiver].running = running;
            for run in request_ended {
                self.result.in_time += u32::from(now <= run.request.target_at);
                let took = now.saturating_sub(run.began);
                let granted = self.receivers[receiver]
                    .queue
                    .finish(now, CLASS, Some(took));
                self.observe(now, run.request);
                let view = &mut self.senders[run.request.sender];
                view.record_try_outcome(
                    now,
                    run.request.key,
                    TryOutcome::Answered { failed: false },
                );
                view.request_ended(run.request.key);
                for key in granted {
                    let (request, _) = self.receivers[receiver]
                        .waiting
                        .remove(&key)
                        .expect("it waited");
                    self.begin(now, request);
                }
            }
            self.expire(now, receiver);
        }
    }

    fn expire(&mut self, now: Duration, receiver: usize) {
        let receiver = &mut self.receivers[receiver];
        let late: Vec<QueueKey> = receiver
            .waiting
            .iter()
            .filter(|(_, (_, latest))| *latest < now)
            .map(|(&key, _)| key)
            .collect();
        for key in late {
            receiver.queue.expire(key);
            let (request, _) = receiver.waiting.remove(&key).expect("it waited");
            self.senders[request.sender].request_ended(request.key);
            self.result.refused += 1;
        }
    }

    fn begin(&mut self, now: Duration, request: Request) {
        let far = request.sender % self.data_centres != request.receiver % self.data_centres;
        self.result.far += u32::from(far);
        let spread = 0.5 + self.rng.random::<f64>();
        let receiver = &mut self.receivers[request.receiver];
        receiver.running.push(Run {
            request,
            began: now,
            ends_at: now + receiver.work.mul_f64(spread),
        });
    }

    fn observe(&mut self, now: Duration, request: Request) {
        let report = self.receivers[request.receiver].report();
        self.senders[request.sender].record_load(now, request.key, CLASS, report);
        self.heard[request.sender].insert(request.receiver, report);
    }

    /// Sends a request of a random front, as the node does: a probe where a slot
    /// may be free, then a place in a queue.
    fn ask(&mut self, now: Duration) {
        self.result.offered += 1;
        let sender = self.draw_front();
        let (mut tried, mut probed) = (Vec::new(), Vec::new());
        while tried.len() + probed.len() < TRIES {
            let may_wait = self.picker == Picker::BestKnown
                || probed.len() == PROBES
                || !self.senders[sender].may_probe(&query(&tried, &probed));
            let Some(key) = self.pick(now, sender, &tried, &probed, may_wait) else {
                break;
            };
            let address = self.senders[sender]
                .get(key)
                .expect("it is known")
                .record
                .peer_addr;
            let request = Request {
                sender,
                receiver: (0..DOORS)
                    .find(|&receiver| peer_addr(receiver) == address)
                    .expect("it is one"),
                key,
                target_at: now + TARGET,
            };
            self.result.asked += 1;
            if self.receivers[request.receiver].shut {
                self.senders[sender].record_try_outcome(now, key, self.shut_end);
                tried.push(key);
                continue;
            }
            self.senders[sender].request_sent(key);
            match self.offer(now, request, may_wait) {
                AdmissionDecision::Run => return self.begin(now, request),
                AdmissionDecision::Wait { key, latest } => {
                    let waiting = &mut self.receivers[request.receiver].waiting;
                    waiting.insert(key, (request, latest));
                    return;
                }
                AdmissionDecision::Busy => {
                    probed.push(key);
                }
                AdmissionDecision::Refuse { retry_after } => {
                    let end = TryOutcome::Refused { retry_after };
                    self.senders[sender].record_try_outcome(now, key, end);
                    tried.push(key);
                }
            }
            self.senders[sender].request_ended(key);
            self.observe(now, request);
        }
        self.result.refused += 1;
    }

    fn offer(&mut self, now: Duration, request: Request, may_wait: bool) -> AdmissionDecision {
        let offer = AdmissionRequest {
            rank: 1,
            route_hash: CLASS,
            may_wait,
            nested: false,
            target_deadline: request.target_at,
            ends_at: request.target_at + TARGET,
        };
        self.receivers[request.receiver].queue.offer(now, offer)
    }

    fn pick(
        &mut self,
        now: Duration,
        sender: usize,
        tried: &[MemberKey],
        probed: &[MemberKey],
        may_wait: bool,
    ) -> Option<MemberKey> {
        let query = query(tried, probed);
        match (self.picker, may_wait) {
            (Picker::BestKnown, _) => self.best_known(sender, tried),
            (Picker::Node, false) => self.senders[sender].pick(now, &query, &mut self.rng),
            (Picker::Node, true) => self.senders[sender].pick_queue(now, &query, &mut self.rng),
        }
    }

    /// The least time to an answer of all that a front knows.
    fn best_known(&mut self, sender: usize, tried: &[MemberKey]) -> Option<MemberKey> {
        let mut best: Option<(f64, MemberKey)> = None;
        for receiver in 0..DOORS {
            let key = self.senders[sender].key_of(peer_addr(receiver))?;
            let heard = self.heard[sender].get(&receiver);
            let wait = heard.map_or(0.0, |report| {
                let held = f64::from(report.running + report.waiting) + 1.0;
                let excess = (held - f64::from(SLOTS)).max(0.0) / f64::from(SLOTS);
                report.service.as_secs_f64() * (1.0 + excess)
            });
            let cost = wait * (1.0 + 0.15 * noise(&mut self.rng));
            if !tried.contains(&key) && best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }
}

fn query<'a>(tried: &'a [MemberKey], probed: &'a [MemberKey]) -> PickQuery<'a> {
    PickQuery {
        service: "orders",
        route_hash: CLASS,
        target: TARGET,
        tried,
        probed,
        response_bytes: 2_000,
    }
}

fn noise(rng: &mut impl Rng) -> f64 {
    rng.random::<f64>() * 2.0 - 1.0
}

/// Guards against all nodes choosing the same few servers because their load reports are stale.
#[test]
fn stale_news_do_not_crowd_the_fastest() {
    let node = Fleet::new(Picker::Node, BUSY).play();
    let naive = Fleet::new(Picker::BestKnown, BUSY).play();
    assert!(node.share_in_time() > 0.95, "{node:?} {naive:?}");
    assert!(naive.share_in_time() < 0.9, "{node:?} {naive:?}");
}

/// Guards against probing for free slots in a shortage, when there are none.
#[test]
fn a_shortage_is_not_probed() {
    let node = Fleet::new(Picker::Node, 1.5).play();
    assert!(node.asked_each() < 2.2, "{node:?}");
    assert!(node.share_in_time() > 0.55, "{node:?}");
}

/// Guards against nodes without a backend server that look idle and draw most tries.
#[test]
fn nodes_without_a_server_draw_no_work() {
    let load = BUSY * 0.75;
    let node = Fleet::new(Picker::Node, load)
        .shut(6, TryOutcome::NoBackend)
        .play();
    let retry_after = Duration::from_millis(50);
    let naive = Fleet::new(Picker::Node, load)
        .shut(6, TryOutcome::Refused { retry_after })
        .play();
    assert!(node.share_in_time() > 0.95, "{node:?} {naive:?}");
    assert!(
        node.asked_each() + 0.2 < naive.asked_each(),
        "{node:?} {naive:?}"
    );
}

/// Guards against answers that cross data centres while servers at home are free.
#[test]
fn requests_stay_at_home_while_it_has_room() {
    let node = Fleet::spread(Picker::Node, 0.6, 5).play();
    assert!(node.share_far() < 0.2, "{node:?}");
    assert!(node.share_in_time() > 0.97, "{node:?}");
}

/// Guards against a crowded data centre that keeps its callers in its queues.
#[test]
fn callers_of_a_crowded_data_centre_spill_over() {
    let node = Fleet::spread(Picker::Node, 0.6, 5).crowded(0.3).play();
    assert!(node.share_in_time() > 0.95, "{node:?}");
}
