//! What spreading costs a fleet of the planned size: a model, not a fleet.
//!
//! All cores run in this process on a simulated clock, with messages encoded,
//! delayed by up to 5 ms and decoded. Bytes are those of envelopes, without
//! TCP's. Run with an optional number of nodes:
//!
//! ```text
//! cargo run --locked --release -p geranium-spread --example fleet_cost -- 1600
//! ```

#[path = "../tests/all/fake_platform.rs"]
mod fake_platform;
#[path = "../tests/all/fleet.rs"]
#[expect(dead_code, reason = "the tests use the rest")]
mod fleet;

use std::time::{Duration, Instant};

use fake_platform::preset;
use fleet::Fleet;
use geranium_model::{InstanceName, MemberState};
use geranium_spread::FleetCore;

/// Services of the planned fleet.
const SERVICES: usize = 290;
/// Data centres of the planned fleet, two in each region.
const DATA_CENTRES: [&str; 10] = ["a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2", "e1", "e2"];
/// Longest time a phase may take to converge.
const PATIENCE_S: usize = 120;

struct Meter {
    sent: u64,
    bytes: u64,
    began: Duration,
    clock: Instant,
}

impl Meter {
    fn start(fleet: &mut Fleet) -> Self {
        fleet.platform.calls.clear();
        fleet.largest = 0;
        Self {
            sent: fleet.sent,
            bytes: fleet.sent_bytes,
            began: fleet.now,
            clock: Instant::now(),
        }
    }

    /// Prints one row: rates are means over all nodes and the phase.
    fn print(&self, fleet: &Fleet, phase: &str, note: &str) {
        let seconds = fleet.now.saturating_sub(self.began).as_secs_f64();
        let per_node = 1.0 / seconds / fleet.cores.len() as f64;
        let messages = (fleet.sent - self.sent) as f64 * per_node;
        let bytes = (fleet.sent_bytes - self.bytes) as f64 * per_node;
        let calls: u64 = fleet.platform.calls.values().sum();
        let peak = fleet.platform.calls.values().max().unwrap_or(&0);
        println!(
            "| {phase} | {seconds:.0} | {messages:.1} | {bytes:.0} | {} | {:.1} | {peak} | {note} |",
            fleet.largest,
            calls as f64 / seconds,
        );
        eprintln!(
            "{phase}: {:.1} s of this machine",
            self.clock.elapsed().as_secs_f64()
        );
    }
}

fn main() {
    let count = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let count: usize = count.unwrap_or(1_600);
    println!("| phase | s | messages/s·node | bytes/s·node | largest | calls/s | peak | |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut fleet = Fleet::new(1);
    fleet.activate(&preset(SERVICES, 1));
    herd_start(&mut fleet, count);
    idle(&mut fleet);
    changes(&mut fleet);
    replacement(&mut fleet);
    restarts(&mut fleet);
    rack_loss(&mut fleet);
    split(&mut fleet);
    platform_outage(&mut fleet);
}

fn herd_start(fleet: &mut Fleet, count: usize) {
    let meter = Meter::start(fleet);
    for data_centre in DATA_CENTRES {
        fleet.start_planned(data_centre, count / DATA_CENTRES.len(), count as u32);
    }
    let all = fleet.cores.len();
    let configured = run_until(fleet, |fleet| {
        fleet.in_force().values().all(Option::is_some)
    });
    let known = run_until(fleet, |fleet| {
        fleet
            .cores
            .values()
            .all(|core| core.members().count() == all)
    });
    let peak = fleet.cores.values().map(sent_by).max().unwrap_or_default();
    let note = format!(
        "all configured after {configured} s, all rows everywhere {known} s later; \
         busiest node sent {} kB",
        peak / 1_000
    );
    meter.print(fleet, "herd start", &note);
    fleet.run(20.0);
}

fn sent_by(core: &FleetCore) -> u64 {
    core.counters().sent_bytes.iter().sum()
}

fn run_until(fleet: &mut Fleet, done: impl Fn(&Fleet) -> bool) -> usize {
    (0..PATIENCE_S)
        .find(|_| {
            let met = done(fleet);
            if !met {
                fleet.run(1.0);
            }
            met
        })
        .unwrap_or(PATIENCE_S)
}

fn idle(fleet: &mut Fleet) {
    let meter = Meter::start(fleet);
    fleet.run(30.0);
    let links: usize = fleet.cores.values().map(|core| core.links().len()).sum();
    let most = fleet.cores.values().map(|core| core.links().len()).max();
    let watchers = fleet
        .cores
        .values()
        .filter(|core| core.is_watcher())
        .count();
    let note = format!(
        "{:.1} links a node, at most {}; {watchers} watchers",
        links as f64 / fleet.cores.len() as f64,
        most.unwrap_or_default(),
    );
    meter.print(fleet, "idle", &note);
}

fn changes(fleet: &mut Fleet) {
    let meter = Meter::start(fleet);
    let mut lags = Vec::new();
    for edition in 2..12 {
        let began = fleet.now;
        let version = fleet.activate(&preset(SERVICES, edition));
        fleet.changed_at.clear();
        fleet.run(6.0);
        let reached = fleet.changed_at.iter().filter(|(held, _)| *held == version);
        let before = lags.len();
        lags.extend(reached.map(|(_, at)| at.saturating_sub(began).as_millis()));
        assert_eq!(
            lags.len() - before,
            fleet.cores.len(),
            "everyone has version {version}"
        );
    }
    lags.sort_unstable();
    let at = |share: f64| lags[((lags.len() - 1) as f64 * share) as usize];
    let note = format!(
        "10 changes; in force after p50 {} ms, p99 {} ms, last {} ms",
        at(0.5),
        at(0.99),
        at(1.0)
    );
    meter.print(fleet, "a change every 6 s", &note);
}

/// A change too large for a delta: every node fetches the whole document once.
fn replacement(fleet: &mut Fleet) {
    let large = preset(1_000, 50);
    let meter = Meter::start(fleet);
    let began = fleet.now;
    fleet.activate(&large);
    fleet.changed_at.clear();
    fleet.run(10.0);
    let last = fleet
        .changed_at
        .iter()
        .map(|(_, at)| at.saturating_sub(began))
        .max();
    let note = format!(
        "{} kB at {} of {} after {} ms",
        large.document().canonical_bytes().len() / 1_000,
        fleet.changed_at.len(),
        fleet.cores.len(),
        last.unwrap_or_default().as_millis()
    );
    meter.print(fleet, "preset replaced", &note);
    fleet.activate(&preset(SERVICES, 12));
    fleet.run(10.0);
}

fn restarts(fleet: &mut Fleet) {
    let meter = Meter::start(fleet);
    let names: Vec<_> = fleet.cores.keys().cloned().collect();
    for step in 0..20 {
        let name = &names[step * names.len() / 20];
        fleet.act(name, |core, now, out| {
            core.set_state(now, MemberState::Draining, None, 12, out);
        });
        fleet.run(1.0);
        fleet.start_one(name);
        fleet.run(2.0);
    }
    let waiting = fleet
        .in_force()
        .values()
        .filter(|held| held.is_none())
        .count();
    let note = format!("20 drained and restarted empty, {waiting} still without configuration");
    meter.print(fleet, "a restart every 3 s", &note);
}

fn rack_loss(fleet: &mut Fleet) {
    let meter = Meter::start(fleet);
    let size = fleet.cores.len() / 40;
    let rack: Vec<_> = (0..size).map(|index| format!("c1-{index}")).collect();
    for name in &rack {
        fleet.cores.remove(name);
    }
    let name: InstanceName = rack[0].parse().expect("an instance's name");
    let state = |core: &FleetCore| core.member(&name).map(|row| row.state);
    let suspect = run_until(fleet, |fleet| {
        fleet
            .cores
            .values()
            .all(|core| state(core) >= Some(MemberState::Suspect))
    });
    let left = fleet.cores.len();
    let gone = run_until(fleet, |fleet| {
        fleet
            .cores
            .values()
            .all(|core| core.members().count() == left)
    });
    let note = format!(
        "{size} instances; no work after {suspect} s, gone after {}",
        suspect + gone
    );
    meter.print(fleet, "rack lost", &note);
    fleet.run(10.0);
}

fn split(fleet: &mut Fleet) {
    fleet.cuts = ["b", "c", "d", "e"]
        .map(|far| ("a".to_owned(), far.to_owned()))
        .to_vec();
    let meter = Meter::start(fleet);
    fleet.run(60.0);
    let refuted = fleet.total(|core| core.counters().refuted);
    let suspected = fleet.total(|core| core.counters().suspected);
    let note = format!("{suspected} suspicions, {refuted} refutations since the start");
    meter.print(fleet, "region cut off", &note);
    fleet.cuts.clear();
    let meter = Meter::start(fleet);
    let healed = run_until(fleet, |fleet| {
        fleet.cores.values().all(|core| core.cut_off().is_empty())
    });
    fleet.run(5.0);
    meter.print(
        fleet,
        "region back",
        &format!("all within reach after {healed} s"),
    );
}

fn platform_outage(fleet: &mut Fleet) {
    fleet.platform.away = true;
    let meter = Meter::start(fleet);
    fleet.run(60.0);
    meter.print(fleet, "platform away", "");
    fleet.platform.away = false;
    let meter = Meter::start(fleet);
    let began = fleet.now;
    fleet.activate(&preset(SERVICES, 40));
    fleet.changed_at.clear();
    fleet.run(12.0);
    let last = fleet
        .changed_at
        .iter()
        .map(|(_, at)| at.saturating_sub(began))
        .max();
    let note = format!(
        "{} of {} have the change that waited after {} ms",
        fleet.changed_at.len(),
        fleet.cores.len(),
        last.unwrap_or_default().as_millis()
    );
    meter.print(fleet, "platform back", &note);
}
