//! Reading of mixes and schedules.

use std::time::Duration;

use geranium_load::{ArrivalSchedule, LoadPlan, MixEntry};
use geranium_model::RequestClass;

#[test]
fn entries_of_each_class_are_read() {
    let once: MixEntry = "once:2:/pantanir/orders:pantanir".parse().unwrap();
    assert_eq!(
        (once.class, once.service.as_str()),
        (RequestClass::Once, "pantanir")
    );
    let bulk: MixEntry = "bulk:1:/vorulisti:65536".parse().unwrap();
    assert_eq!((bulk.class, bulk.bytes), (RequestClass::Bulk, 65_536));
}

#[test]
fn malformed_entries_are_refused() {
    for text in [
        "",
        "short",
        "tall:1:/a",
        "short:x:/a",
        "short:1:a",
        "once:1:/a",
        "bulk:1:/a:x",
    ] {
        assert!(text.parse::<MixEntry>().is_err(), "{text}");
    }
}

#[test]
fn weights_and_the_hot_caller_shape_the_schedule() {
    let mix = vec![
        "short:9:/a".parse().unwrap(),
        "bulk:1:/b:10".parse().unwrap(),
    ];
    let mut plan = LoadPlan::new(vec![([127, 0, 0, 1], 1).into()], mix);
    plan.duration = Duration::from_secs(100);
    plan.hot_share = 0.5;
    let arrivals: Vec<_> = ArrivalSchedule::new(&plan).collect();
    let bulk = arrivals.iter().filter(|arrival| arrival.entry == 1).count();
    let hot = arrivals
        .iter()
        .filter(|arrival| arrival.caller == 0)
        .count();
    assert!(
        (800..1_200).contains(&bulk),
        "a tenth of about 10,000: {bulk}"
    );
    assert!(
        (5_000..5_500).contains(&hot),
        "a half and a twentieth of the rest: {hot}"
    );
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
}

#[test]
fn equal_seeds_give_equal_schedules() {
    let plan = LoadPlan::new(
        vec![([127, 0, 0, 1], 1).into()],
        vec!["short:1:/a".parse().unwrap()],
    );
    assert!(ArrivalSchedule::new(&plan).eq(ArrivalSchedule::new(&plan)));
}
