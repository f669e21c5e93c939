//! Failures of several kinds, one upon another, and what holds throughout.

use std::collections::BTreeMap;

use geranium_spread::FleetCore;
use proptest::{prelude::*, sample::select};

use crate::{fake_platform::preset, fleet::Fleet};

#[derive(Debug, Clone)]
enum Event {
    Activate(u32),
    Restart(&'static str),
    Freeze(&'static str),
    Cut(&'static str, &'static str),
    Heal,
    PlatformAway(bool),
    Loss(f64),
}

const NAMES: [&str; 9] = [
    "a1-0", "a1-1", "a1-2", "a2-0", "a2-1", "a2-2", "b1-0", "b1-1", "b1-2",
];

fn any_event() -> impl Strategy<Value = Event> {
    let name = || select(NAMES.to_vec());
    let place = || select(vec!["a", "a1", "a2", "b1", "a1-0", "b1-2"]);
    prop_oneof![
        3 => (0u32..50).prop_map(Event::Activate),
        2 => name().prop_map(Event::Restart),
        2 => name().prop_map(Event::Freeze),
        1 => (place(), place()).prop_map(|(a, b)| Event::Cut(a, b)),
        2 => Just(Event::Heal),
        1 => any::<bool>().prop_map(Event::PlatformAway),
        1 => select(vec![0.0, 0.3]).prop_map(Event::Loss),
    ]
}

fn apply(fleet: &mut Fleet, event: &Event) {
    match event {
        Event::Activate(edition) => {
            fleet.activate(&preset(4, *edition));
        }
        Event::Restart(name) => {
            fleet.frozen.remove(*name);
            fleet.start_one(name);
        }
        Event::Freeze(name) => {
            fleet.frozen.insert((*name).to_owned());
        }
        Event::Cut(a, b) => fleet.cuts.push(((*a).to_owned(), (*b).to_owned())),
        Event::Heal => {
            fleet.cuts.clear();
            fleet.frozen.clear();
        }
        Event::PlatformAway(away) => fleet.platform.away = *away,
        Event::Loss(loss) => fleet.loss = *loss,
    }
}

/// Returns each process and its version: a restart makes another process.
fn processes(fleet: &Fleet) -> BTreeMap<(String, u64), Option<u64>> {
    let held = fleet.in_force();
    let started = |name: &String| fleet.cores[name].own_row().started.get();
    let keyed = held
        .iter()
        .map(|(name, version)| ((name.clone(), started(name)), *version));
    keyed.collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Nodes restart, freeze and lose each other while operators activate and
    /// the platform comes and goes. No process ever moves back, and when all is
    /// mended everyone has the last version and the same rows.
    #[test]
    fn fleet_ends_whole_after_any_disorder(
        seed in any::<u64>(),
        events in prop::collection::vec((any_event(), 1u64..80), 1..14),
    ) {
        let mut fleet = Fleet::new(seed);
        let mut last = fleet.activate(&preset(4, 0));
        for data_centre in ["a1", "a2", "b1"] {
            fleet.start(data_centre, 3);
        }
        fleet.run(8.0);
        for (event, tenths) in events {
            let before = processes(&fleet);
            apply(&mut fleet, &event);
            fleet.run(tenths as f64 / 10.0);
            for (process, version) in processes(&fleet) {
                let former = before.get(&process).copied().flatten();
                prop_assert!(version >= former, "{process:?}: {former:?}, then {version:?}");
            }
            last = fleet.platform.in_force.as_ref().map_or(last, |held| held.version.get());
        }
        apply(&mut fleet, &Event::Heal);
        (fleet.loss, fleet.platform.away) = (0.0, false);
        fleet.run(60.0);
        let held = fleet.in_force();
        prop_assert!(held.values().all(|version| *version == Some(last)), "{held:?}");
        fleet.assert_members(NAMES.len());
        let roots: Vec<_> = fleet.cores.values().map(FleetCore::members_root).collect();
        prop_assert!(roots.windows(2).all(|pair| pair[0] == pair[1]));
    }
}
