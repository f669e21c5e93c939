//! Burn from cumulative counters against a count of single events.

use geranium_burn::{BurnReport, BurnTracker, NodeReading, TrafficCounts};

use crate::support::{MONTH, counts, missing, node, sample};

const HISTORIES: u64 = 2_000;

/// Numbers that depend on the seed alone (splitmix64).
struct Draw(u64);

impl Draw {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit
    }
}

/// What one answer was.
#[derive(Clone, Copy, PartialEq)]
enum Event {
    Fast,
    Slow,
    Bad,
}

/// A node that counts since its start, beside a log of each single answer.
struct LoggedNode {
    name: String,
    started: u64,
    /// Answers of this process.
    life: Vec<Event>,
    /// How many of them were read, once any page of the node was.
    read: usize,
    has_base: bool,
}

impl LoggedNode {
    fn reading(&self) -> NodeReading {
        let count = |event| self.life.iter().filter(|found| **found == event).count() as u64;
        let good = count(Event::Fast) + count(Event::Slow);
        node(
            &self.name,
            self.started,
            counts(good, count(Event::Bad), count(Event::Slow)),
        )
    }

    /// Takes the answers that a reading now shows for the first time.
    fn take_new(&mut self) -> Vec<Event> {
        let from = if self.has_base {
            self.read
        } else {
            self.life.len()
        };
        self.has_base = true;
        self.read = self.life.len();
        self.life[from..].to_vec()
    }

    /// A start may share the former one's number, where nothing of the former
    /// process was read.
    fn restart(&mut self, draw: &mut Draw) {
        let may_hide = self.read == 0;
        self.started += if may_hide { draw.below(2) } else { 1 };
        self.life.clear();
        self.read = 0;
    }
}

fn drawn_event(draw: &mut Draw) -> Event {
    [Event::Fast, Event::Fast, Event::Slow, Event::Bad][draw.below(4) as usize]
}

/// Nodes answer, restart, can't be read for a while and come back, in any
/// order. An operator who had logged every single answer must come to the same
/// budget as the report does, but for answers that died with a process: these
/// must be missing from both, never turn up as negative or doubled.
#[test]
fn burn_from_counters_equals_a_count_of_single_answers() {
    for seed in 0..HISTORIES {
        let mut draw = Draw(seed);
        let mut tracker = BurnTracker::new(MONTH);
        let mut nodes: Vec<_> = (0..3)
            .map(|number| LoggedNode {
                name: format!("hofdi-{number}"),
                started: 1,
                life: Vec::new(),
                read: 0,
                has_base: false,
            })
            .collect();
        let mut seen = Vec::new();
        for minute in 0..=draw.below(12) + 1 {
            let mut next = sample(minute, []);
            for node in &mut nodes {
                for _ in 0..draw.below(6) {
                    if draw.below(8) == 0 {
                        node.restart(&mut draw);
                    }
                    node.life.push(drawn_event(&mut draw));
                }
                if draw.below(4) == 0 {
                    next.missing.push(missing(&node.name));
                } else {
                    next.nodes.push(node.reading());
                    seen.extend(node.take_new());
                }
            }
            tracker.add(next);
        }
        let report = BurnReport::from(&tracker);
        let prices = report
            .services
            .iter()
            .find(|one| one.service.as_str() == "verdskra");
        let prices = prices.expect("it is promised");
        let count = |event| seen.iter().filter(|found| **found == event).count() as u64;
        let (bad, slow) = (count(Event::Bad), count(Event::Slow));
        let total = seen.len() as u64;
        assert_eq!(
            (prices.availability.violations, prices.availability.total),
            (bad, total),
            "seed {seed}"
        );
        assert_eq!(
            (prices.latency.violations, prices.latency.total),
            (slow, total - bad),
            "seed {seed}"
        );
        let naive = (total > 0).then(|| 1.0 - bad as f64 / (total as f64 * 0.1));
        let left = prices.availability.budget_left;
        let is_close = match (left, naive) {
            (Some(left), Some(naive)) => (left - naive).abs() < 1e-9 * naive.abs().max(1.0),
            (left, naive) => left == naive,
        };
        assert!(is_close, "seed {seed}: {left:?} and {naive:?}");
    }
}

/// A node restarts within the same millisecond of a coarse clock, so its start
/// looks unchanged. One counter that fell is enough to tell: all are new then.
#[test]
fn a_fallen_counter_alone_shows_a_restart() {
    let before = TrafficCounts {
        caller_faults: 4,
        ..counts(80, 3, 5)
    };
    let falls: [fn(&mut TrafficCounts); 5] = [
        |counts| counts.good -= 1,
        |counts| counts.bad -= 1,
        |counts| counts.caller_faults -= 1,
        |counts| counts.timed -= 1,
        |counts| counts.buckets[0].count -= 1,
    ];
    for fall in falls {
        let mut after = before.clone();
        fall(&mut after);
        let after = node("hofdi-2", 5, after);
        let (added, restarted) = after.since(&node("hofdi-2", 5, before.clone()));
        assert!(restarted);
        assert_eq!(added, after.traffic);
    }
    let same = node("hofdi-2", 5, before.clone());
    assert!(!same.since(&same).1);
}
