//! The schedule of a link under load, by what callers get.

use std::time::Duration;

use geranium_node::{
    link::{LinkDecision, LinkRequest, LinkSchedule, LinkTurn, TransferKey},
    outbound::ResendTracker,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const LINK_MBPS: f64 = 25.5;
/// Bytes a second that the link carries, headers of packets among them.
const LINK_RATE: f64 = LINK_MBPS * 125_000.0;
/// Bytes on the link for each byte that is sent: headers of packets.
const PACKET_FACTOR: f64 = 1.03;
/// Files of this mean, most of them shorter: nine to twelve a second fill the link.
const FILE_BYTES: f64 = 280_000.0;
const FILE_SPREAD: f64 = 0.6;
const RUN: Duration = Duration::from_millis(110);
const TARGET: Duration = Duration::from_millis(600);
/// How long callers wait: no two alike.
const PATIENCE: std::ops::Range<u64> = 3_400..4_000;
/// Attempts that a caller makes when it is refused.
const ATTEMPTS: u32 = 3;
/// Least time until a refused caller asks again: the front refuses by itself for as
/// long as the last refusal of a door says, and callers take their time.
const PAUSE: Duration = Duration::from_millis(200);
/// Bytes of a refusal, of an answer's head, and of a request to another node.
const HEAD_BYTES: u64 = 300;
/// Short answers and requests of the machine's own callers, and calls, a second.
const SHORT_PER_S: f64 = 400.0;
const STEP: Duration = Duration::from_millis(1);
const LENGTH: Duration = Duration::from_secs(60);

/// What the node goes by.
#[derive(Debug, Clone, Copy)]
struct NodeSight {
    /// Whether heads and requests count on the link.
    heads: bool,
    /// Whether a caller that comes again is known.
    returns: bool,
    /// Whether answers to callers on the instance are left out of the link count.
    excludes_local: bool,
}

const ALL: NodeSight = NodeSight {
    heads: true,
    returns: true,
    excludes_local: true,
};

/// What callers got.
#[derive(Debug, Clone, Copy, Default)]
struct LoadResult {
    offered: u32,
    refused: u32,
    /// There by the target, from the caller's first attempt on.
    in_time: u32,
    late: u32,
    /// Promised, and not whole when their callers left.
    cut: u32,
    /// Longest time for which bytes waited at the real link.
    longest_queue: Duration,
}

impl LoadResult {
    fn promised(self) -> f64 {
        f64::from(self.offered - self.refused)
    }

    fn served(self) -> f64 {
        f64::from(self.in_time + self.late)
    }
}

/// A caller that wants one file.
#[derive(Debug, Clone, Copy)]
struct Caller {
    fingerprint: u64,
    first_attempt_at: Duration,
    end: Duration,
    attempts: u32,
    asks_at: Duration,
}

/// A file that is promised the link.
#[derive(Debug, Clone, Copy)]
struct File {
    key: TransferKey,
    left: u64,
    made_at: Duration,
    is_made: bool,
    caller: Caller,
}

/// A link that is asked for files.
struct LinkLoadPlay {
    sight: NodeSight,
    link: LinkSchedule,
    /// Bytes that wait at the real link.
    queue: f64,
    returns: ResendTracker,
    per_second: f64,
    /// Files for callers on the instance, a second.
    local_per_s: f64,
    rng: StdRng,
    callers: Vec<Caller>,
    files: Vec<File>,
    result: LoadResult,
}

impl LinkLoadPlay {
    fn new(per_second: f64, sight: NodeSight) -> Self {
        Self {
            sight,
            link: LinkSchedule::new(LINK_MBPS),
            queue: 0.0,
            returns: ResendTracker::default(),
            per_second,
            local_per_s: 0.0,
            rng: StdRng::seed_from_u64(23),
            callers: Vec::new(),
            files: Vec::new(),
            result: LoadResult::default(),
        }
    }

    fn play(mut self) -> LoadResult {
        let mut now = Duration::ZERO;
        while now < LENGTH {
            self.arrive(now);
            self.serve_local(now);
            self.ask(now);
            self.leave(now);
            self.make(now);
            self.send(now);
            self.carry();
            now += STEP;
        }
        self.result
    }

    fn arrive(&mut self, now: Duration) {
        if self.rng.random::<f64>() < self.per_second * STEP.as_secs_f64() {
            let silence_timeout = Duration::from_millis(self.rng.random_range(PATIENCE));
            self.callers.push(Caller {
                fingerprint: self.rng.random(),
                first_attempt_at: now,
                end: now + silence_timeout,
                attempts: 0,
                asks_at: now,
            });
        }
        if self.rng.random::<f64>() < SHORT_PER_S * STEP.as_secs_f64() {
            self.send_head(now);
        }
    }

    /// Sends a file to a caller on the instance, which adds nothing to the link's queue.
    fn serve_local(&mut self, now: Duration) {
        if self.rng.random::<f64>() >= self.local_per_s * STEP.as_secs_f64() {
            return;
        }
        let length = self.length();
        if !self.sight.excludes_local {
            self.link.sent(now, length);
        }
    }

    fn ask(&mut self, now: Duration) {
        let due: Vec<Caller> = self
            .callers
            .extract_if(.., |caller| caller.asks_at <= now)
            .collect();
        for caller in due {
            self.offer(now, caller);
        }
    }

    fn offer(&mut self, now: Duration, mut caller: Caller) {
        self.result.offered += 1;
        let known = self
            .returns
            .first_attempt_at(caller.fingerprint, caller.end);
        let first_attempt_at = known.filter(|_| self.sight.returns).unwrap_or(now);
        let offer = LinkRequest {
            bytes: FILE_BYTES as u64,
            made_in: RUN,
            target_deadline: first_attempt_at + TARGET,
            ends_at: caller.end,
        };
        match self.link.offer(now, offer) {
            LinkDecision::Promised(key) => self.begin(now, key, caller),
            LinkDecision::Refused { retry_after } => {
                self.result.refused += 1;
                self.send_head(now);
                self.returns
                    .refused(caller.fingerprint, first_attempt_at, caller.end);
                caller.attempts += 1;
                caller.asks_at = now + retry_after.max(PAUSE);
                if caller.attempts < ATTEMPTS && caller.asks_at < caller.end {
                    self.callers.push(caller);
                }
            }
        }
    }

    fn begin(&mut self, now: Duration, key: TransferKey, caller: Caller) {
        let run = RUN.mul_f64(0.4 + 1.2 * self.rng.random::<f64>());
        let left = self.length();
        self.files.push(File {
            key,
            left,
            made_at: now + run,
            is_made: false,
            caller,
        });
    }

    /// Draws a length: its logarithm is normal.
    fn length(&mut self) -> u64 {
        let normal = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let median = FILE_BYTES / (FILE_SPREAD * FILE_SPREAD / 2.0).exp();
        (median * (normal * FILE_SPREAD).exp()) as u64
    }

    /// Sends a head, whether the schedule knows of it or not.
    fn send_head(&mut self, now: Duration) {
        self.queue += HEAD_BYTES as f64 * PACKET_FACTOR;
        if self.sight.heads {
            self.link.sent(now, HEAD_BYTES);
        }
    }

    fn leave(&mut self, now: Duration) {
        let link = &mut self.link;
        let before = self.files.len();
        self.files.retain(|file| {
            let stays = file.caller.end > now;
            if !stays {
                link.withdraw(file.key);
            }
            stays
        });
        self.result.cut += (before - self.files.len()) as u32;
    }

    fn make(&mut self, now: Duration) {
        for file in &mut self.files {
            if !file.is_made && now >= file.made_at {
                file.is_made = true;
                self.link.resize(file.key, file.left);
            }
        }
    }

    /// Lets every file that is made hand on what its turns allow.
    fn send(&mut self, now: Duration) {
        let mut handed_on = true;
        while handed_on {
            handed_on = false;
            for file in self.files.iter_mut().filter(|file| file.is_made) {
                match self.link.turn(now, file.key) {
                    LinkTurn::Now => {
                        let piece = file.left.min(self.link.piece() as u64);
                        self.link.sent_of(now, file.key, piece);
                        self.queue += piece as f64 * PACKET_FACTOR;
                        file.left -= piece;
                        handed_on = true;
                    }
                    LinkTurn::Postponed(key) => {
                        file.key = key;
                        handed_on = true;
                    }
                    LinkTurn::After(_) | LinkTurn::Later => {}
                }
                if file.left == 0 {
                    self.link.withdraw(file.key);
                }
            }
            self.end(now);
        }
    }

    /// Ends the files that were handed over: what waits at the link goes before them.
    fn end(&mut self, now: Duration) {
        let there = now + Duration::from_secs_f64(self.queue / LINK_RATE);
        for file in self.files.extract_if(.., |file| file.left == 0) {
            if there <= file.caller.first_attempt_at + TARGET {
                self.result.in_time += 1;
            } else {
                self.result.late += 1;
            }
        }
    }

    fn carry(&mut self) {
        let waits = Duration::from_secs_f64(self.queue / LINK_RATE);
        self.result.longest_queue = self.result.longest_queue.max(waits);
        self.queue = (self.queue - LINK_RATE * STEP.as_secs_f64()).max(0.0);
    }
}

/// Guards against later promises that displace earlier ones until their callers leave.
#[test]
fn promised_files_are_sent() {
    let result = LinkLoadPlay::new(40.0, ALL).play();
    let promised = result.promised();
    assert!(f64::from(result.cut) <= promised * 0.01, "{result:?}");
    assert!(f64::from(result.in_time) >= promised * 0.9, "{result:?}");
}

/// Guards against planning a link full with bodies, so that heads and refusals have to queue.
#[test]
fn heads_and_refusals_find_room_on_a_full_link() {
    let node = LinkLoadPlay::new(40.0, ALL).play();
    let naive = LinkLoadPlay::new(
        40.0,
        NodeSight {
            heads: false,
            ..ALL
        },
    )
    .play();
    let connect_time = Duration::from_millis(250);
    assert!(node.longest_queue < connect_time / 4, "{node:?} {naive:?}");
    assert!(naive.longest_queue > connect_time, "{node:?} {naive:?}");
}

/// Guards against serving returning callers, whose time is nearly over, as new ones.
#[test]
fn files_go_to_callers_that_can_have_them_in_time() {
    let node = LinkLoadPlay::new(40.0, ALL).play();
    let naive = LinkLoadPlay::new(
        40.0,
        NodeSight {
            returns: false,
            ..ALL
        },
    )
    .play();
    assert!(
        f64::from(node.in_time) >= node.served() * 0.9,
        "{node:?} {naive:?}"
    );
    assert!(
        f64::from(naive.in_time) < naive.served() * 0.75,
        "{node:?} {naive:?}"
    );
}

/// Guards against counting answers to callers on the instance as link traffic, which leaves
/// less of the link for answers to other nodes.
#[test]
fn answers_to_callers_on_the_instance_use_no_link_capacity() {
    let play = |excludes_local| {
        let mut play = LinkLoadPlay::new(
            40.0,
            NodeSight {
                excludes_local,
                ..ALL
            },
        );
        play.local_per_s = 2.0;
        play.play()
    };
    let (node, naive) = (play(true), play(false));
    assert!(
        f64::from(node.in_time) >= node.promised() * 0.9,
        "{node:?} {naive:?}"
    );
    assert!(node.served() >= naive.served() * 1.1, "{node:?} {naive:?}");
}
