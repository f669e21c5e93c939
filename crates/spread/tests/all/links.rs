//! Links keep the fleet in one piece.

use std::collections::{BTreeMap, BTreeSet};

use geranium_model::InstanceName;
use geranium_spread::{
    CHOSEN_LINKS, FAR_LINKS, LinkCandidate, LinkClass, NEAR_LINKS, OWN_LINKS, choose_links,
    name_key,
};
use proptest::prelude::*;

type Place = (InstanceName, usize, usize);

/// Members of ten data centres in five regions.
fn members(seed: usize, count: usize) -> Vec<Place> {
    let place = |index: usize| {
        let name = format!("i{seed}-{index}").parse().unwrap();
        (name, index % 10, index % 10 / 2)
    };
    (0..count).map(place).collect()
}

fn class(own: &Place, other: &Place) -> LinkClass {
    match (own.1 == other.1, own.2 == other.2) {
        (true, _) => LinkClass::Own,
        (_, true) => LinkClass::Near,
        _ => LinkClass::Far,
    }
}

fn links_of(own: &Place, all: &[Place]) -> Vec<InstanceName> {
    let others = all.iter().filter(|other| other.0 != own.0);
    let candidates = others.map(|other| LinkCandidate {
        instance: &other.0,
        key: name_key(other.0.as_str()),
        class: class(own, other),
    });
    choose_links(name_key(own.0.as_str()), candidates)
}

/// Counts members that can't be reached from the first along links that either
/// end chose, and the links in all.
fn unreached(all: &[Place], chosen: &BTreeMap<InstanceName, Vec<InstanceName>>) -> (usize, usize) {
    let present: BTreeSet<_> = all.iter().map(|place| &place.0).collect();
    let mut joined: BTreeMap<&InstanceName, BTreeSet<&InstanceName>> = BTreeMap::new();
    for place in all {
        for other in chosen[&place.0]
            .iter()
            .filter(|other| present.contains(other))
        {
            joined.entry(&place.0).or_default().insert(other);
            joined.entry(other).or_default().insert(&place.0);
        }
    }
    let ends: usize = joined.values().map(BTreeSet::len).sum();
    let mut reached = BTreeSet::from([&all[0].0]);
    let mut open = vec![&all[0].0];
    while let Some(name) = open.pop() {
        for other in joined.get(name).into_iter().flatten() {
            if reached.insert(other) {
                open.push(other);
            }
        }
    }
    (all.len() - reached.len(), ends)
}

#[test]
fn fleet_stays_connected_also_without_a_data_centre() {
    let mut most = 0;
    for seed in 0..12 {
        let all = members(seed, 1_600);
        let chosen = all.iter().map(|own| (own.0.clone(), links_of(own, &all)));
        let chosen: BTreeMap<_, _> = chosen.collect();
        let (cut_off, ends) = unreached(&all, &chosen);
        assert_eq!(cut_off, 0, "seed {seed}");
        most = most.max(ends);
        for lost in 0..10 {
            // Before anyone has chosen anew.
            let left: Vec<_> = all
                .iter()
                .filter(|place| place.1 != lost)
                .cloned()
                .collect();
            let (cut_off, _) = unreached(&left, &chosen);
            assert_eq!(cut_off, 0, "seed {seed} without data centre {lost}");
        }
    }
    let mean = most as f64 / 1_600.0;
    assert!((5.0..9.0).contains(&mean), "{mean} links a node");
}

/// Sorts all candidates, in place of keeping short lists.
fn by_sorting(own: &Place, all: &[Place]) -> BTreeSet<InstanceName> {
    let pair = |a: u64, b: u64| spread(a.min(b) ^ spread(a.max(b)));
    let own_key = name_key(own.0.as_str());
    let mut chosen = BTreeSet::new();
    let mut lists: BTreeMap<LinkClass, Vec<_>> = BTreeMap::new();
    for other in all.iter().filter(|other| other.0 != own.0) {
        let score = pair(own_key, name_key(other.0.as_str()));
        lists
            .entry(class(own, other))
            .or_default()
            .push((score, &other.0));
    }
    for list in lists.values_mut() {
        list.sort();
    }
    let mut take = |class, count: usize| {
        for _ in 0..count {
            let best = lists.get_mut(&class).and_then(Vec::pop);
            chosen.extend(best.map(|(_, name)| name.clone()));
        }
        CHOSEN_LINKS - chosen.len()
    };
    take(LinkClass::Own, OWN_LINKS);
    take(LinkClass::Near, NEAR_LINKS);
    let open = take(LinkClass::Far, FAR_LINKS);
    let open = take(LinkClass::Near, open);
    let open = take(LinkClass::Far, open);
    take(LinkClass::Own, open);
    chosen
}

/// The finalizer of `SplitMix64`, written down a second time.
fn spread(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

proptest! {
    #[test]
    fn choice_equals_sorting_all(seed in 0usize..1_000, count in 1usize..60) {
        let all = members(seed, count);
        for own in &all {
            let links: BTreeSet<_> = links_of(own, &all).into_iter().collect();
            prop_assert_eq!(links, by_sorting(own, &all));
        }
    }
}
