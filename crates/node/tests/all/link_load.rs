//! The schedule of a link under load, by what callers get.

use std::time::Duration;

use geranium_node::link::{LinkOffer, LinkSchedule, LinkTurn, LinkVerdict, LoadKey};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const LINK_MBPS: f64 = 25.5;
/// Files of this mean, most of them shorter: nine to twelve a second fill the link.
const FILE_BYTES: f64 = 280_000.0;
const FILE_SPREAD: f64 = 0.6;
const RUN: Duration = Duration::from_millis(110);
const TARGET: Duration = Duration::from_millis(600);
const PATIENCE: Duration = Duration::from_millis(3_500);
const STEP: Duration = Duration::from_millis(1);
const LENGTH: Duration = Duration::from_secs(60);

/// What callers got.
#[derive(Debug, Clone, Copy, Default)]
struct LoadResult {
    offered: u32,
    refused: u32,
    in_time: u32,
    late: u32,
    /// Promised, and not whole when their callers left.
    cut: u32,
}

impl LoadResult {
    fn promised(self) -> f64 {
        f64::from(self.offered - self.refused)
    }
}

/// A file that is promised the link.
#[derive(Debug, Clone, Copy)]
struct File {
    key: LoadKey,
    left: u64,
    made_at: Duration,
    is_made: bool,
    useful_until: Duration,
    ends_at: Duration,
}

/// A link that is asked for files.
struct LinkLoadPlay {
    link: LinkSchedule,
    per_second: f64,
    rng: StdRng,
    files: Vec<File>,
    result: LoadResult,
}

impl LinkLoadPlay {
    fn new(per_second: f64) -> Self {
        Self {
            link: LinkSchedule::new(LINK_MBPS),
            per_second,
            rng: StdRng::seed_from_u64(23),
            files: Vec::new(),
            result: LoadResult::default(),
        }
    }

    fn play(mut self) -> LoadResult {
        let mut now = Duration::ZERO;
        while now < LENGTH {
            if self.rng.random::<f64>() < self.per_second * STEP.as_secs_f64() {
                self.ask(now);
            }
            self.leave(now);
            self.make(now);
            self.send(now);
            now += STEP;
        }
        self.result
    }

    fn ask(&mut self, now: Duration) {
        self.result.offered += 1;
        let (useful_until, ends_at) = (now + TARGET, now + PATIENCE);
        let offer = LinkOffer {
            bytes: FILE_BYTES as u64,
            made_in: RUN,
            useful_until,
            ends_at,
        };
        let LinkVerdict::Promised(key) = self.link.offer(now, offer) else {
            self.result.refused += 1;
            return;
        };
        let left = self.length();
        let run = RUN.mul_f64(0.4 + 1.2 * self.rng.random::<f64>());
        self.files.push(File {
            key,
            left,
            made_at: now + run,
            is_made: false,
            useful_until,
            ends_at,
        });
    }

    /// Draws a length: its logarithm is normal.
    fn length(&mut self) -> u64 {
        let normal = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let median = FILE_BYTES / (FILE_SPREAD * FILE_SPREAD / 2.0).exp();
        (median * (normal * FILE_SPREAD).exp()) as u64
    }

    fn leave(&mut self, now: Duration) {
        let link = &mut self.link;
        let before = self.files.len();
        self.files.retain(|file| {
            let stays = file.ends_at > now;
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

    fn end(&mut self, now: Duration) {
        for file in self.files.extract_if(.., |file| file.left == 0) {
            if now <= file.useful_until {
                self.result.in_time += 1;
            } else {
                self.result.late += 1;
            }
        }
    }
}

/// Users saw that too few files were served, and half of those late. Files are asked
/// for four times as often as the link carries them. One is promised and made within
/// 0.1 s; later ones that are due sooner, or hardly later, are promised as well and go
/// before it, so that it is put behind all that can be in time; it waits with its
/// answer ready until its caller leaves.
#[test]
fn promised_files_are_sent() {
    let result = LinkLoadPlay::new(40.0).play();
    let promised = result.promised();
    assert!(f64::from(result.cut) <= promised * 0.01, "{result:?}");
    assert!(f64::from(result.in_time) >= promised * 0.9, "{result:?}");
}
