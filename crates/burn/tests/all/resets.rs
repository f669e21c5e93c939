//! Tests of counter resets: burn from counters must equal a count of events.

use geranium_burn::{BurnReport, BurnTracker, NodeReading, TrafficCounts};

use crate::support::{MONTH, counts, missing, node, sample};

const SEEDS: u64 = 2_000;

/// Pseudorandom numbers from a seed (splitmix64).
struct SeededRandom(u64);

impl SeededRandom {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit
    }
}

/// Outcome of one response.
#[derive(Clone, Copy, PartialEq)]
enum Event {
    Fast,
    Slow,
    Bad,
}

/// Simulated node that also logs each single response.
struct LoggedNode {
    name: String,
    started: u64,
    /// Responses since the process started.
    responses: Vec<Event>,
    /// Number of responses at the last reading of this process.
    read: usize,
    was_read: bool,
}

impl LoggedNode {
    fn reading(&self) -> NodeReading {
        let count = |event| {
            self.responses
                .iter()
                .filter(|found| **found == event)
                .count() as u64
        };
        let good = count(Event::Fast) + count(Event::Slow);
        node(
            &self.name,
            self.started,
            counts(good, count(Event::Bad), count(Event::Slow)),
        )
    }

    /// Returns the responses that a reading adds to the previous one.
    ///
    /// The first reading of a node adds none, since it is only a baseline.
    fn take_unread(&mut self) -> Vec<Event> {
        let from = if self.was_read {
            self.read
        } else {
            self.responses.len()
        };
        self.was_read = true;
        self.read = self.responses.len();
        self.responses[from..].to_vec()
    }

    /// Restarts the process.
    ///
    /// The start time may stay the same if no response of the old process was
    /// read.
    fn restart(&mut self, random: &mut SeededRandom) {
        let may_repeat = self.read == 0;
        self.started += if may_repeat { random.below(2) } else { 1 };
        self.responses.clear();
        self.read = 0;
    }
}

fn random_event(random: &mut SeededRandom) -> Event {
    [Event::Fast, Event::Fast, Event::Slow, Event::Bad][random.below(4) as usize]
}

/// Nodes respond, restart, and are unreadable for a while, in random order. The
/// budget in the report must equal one computed from a log of single responses.
/// Responses lost with a process are in neither; they must not make counts
/// negative or double.
#[test]
fn burn_from_counters_equals_a_count_of_single_responses() {
    for seed in 0..SEEDS {
        let mut random = SeededRandom(seed);
        let mut tracker = BurnTracker::new(MONTH);
        let mut nodes: Vec<_> = (0..3)
            .map(|number| LoggedNode {
                name: format!("hofdi-{number}"),
                started: 1,
                responses: Vec::new(),
                read: 0,
                was_read: false,
            })
            .collect();
        let mut seen = Vec::new();
        for minute in 0..=random.below(12) + 1 {
            let mut next = sample(minute, []);
            for node in &mut nodes {
                for _ in 0..random.below(6) {
                    if random.below(8) == 0 {
                        node.restart(&mut random);
                    }
                    node.responses.push(random_event(&mut random));
                }
                if random.below(4) == 0 {
                    next.missing.push(missing(&node.name));
                } else {
                    next.nodes.push(node.reading());
                    seen.extend(node.take_unread());
                }
            }
            tracker.add(next);
        }
        let report = BurnReport::from(&tracker);
        let verdskra_burn = report
            .services
            .iter()
            .find(|one| one.service.as_str() == "verdskra");
        let verdskra_burn = verdskra_burn.expect("the service has an objective");
        let count = |event| seen.iter().filter(|found| **found == event).count() as u64;
        let (bad, slow) = (count(Event::Bad), count(Event::Slow));
        let total = seen.len() as u64;
        assert_eq!(
            (
                verdskra_burn.availability.violations,
                verdskra_burn.availability.total
            ),
            (bad, total),
            "seed {seed}"
        );
        assert_eq!(
            (
                verdskra_burn.latency.violations,
                verdskra_burn.latency.total
            ),
            (slow, total - bad),
            "seed {seed}"
        );
        let expected_left = (total > 0).then(|| 1.0 - bad as f64 / (total as f64 * 0.1));
        let left = verdskra_burn.availability.budget_left;
        let is_close = match (left, expected_left) {
            (Some(left), Some(expected_left)) => {
                (left - expected_left).abs() < 1e-9 * expected_left.abs().max(1.0)
            }
            (left, expected_left) => left == expected_left,
        };
        assert!(is_close, "seed {seed}: {left:?} and {expected_left:?}");
    }
}

/// A node restarts, but its start time is the same, as with a coarse clock. One
/// decreased counter is enough to detect the restart; all counts are then new.
#[test]
fn a_decreased_counter_alone_shows_a_restart() {
    let before = TrafficCounts {
        caller_faults: 4,
        ..counts(80, 3, 5)
    };
    let decrements: [fn(&mut TrafficCounts); 5] = [
        |counts| counts.good -= 1,
        |counts| counts.bad -= 1,
        |counts| counts.caller_faults -= 1,
        |counts| counts.timed -= 1,
        |counts| counts.buckets[0].count -= 1,
    ];
    for decrement in decrements {
        let mut after = before.clone();
        decrement(&mut after);
        let after = node("hofdi-2", 5, after);
        let (added, restarted) = after.since(&node("hofdi-2", 5, before.clone()));
        assert!(restarted);
        assert_eq!(added, after.traffic);
    }
    let same = node("hofdi-2", 5, before.clone());
    assert!(!same.since(&same).1);
}
