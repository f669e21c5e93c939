//! Cost of a pick by size of the fleet, and memory of a picker.

mod common;
#[path = "../tests/common/mod.rs"]
mod rows;

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use geranium_decisions::picking::{BackendPicker, PickReport, PickResult, PickerHome};
use geranium_model::ServiceName;
use rand::{RngExt, SeedableRng, rngs::StdRng};

const CENTRES: [&str; 10] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];
const MEMORY_PICKERS: usize = 32;

fn fleet(endpoints: usize, services: usize) -> (BackendPicker, Vec<ServiceName>) {
    let home = PickerHome {
        data_centre: CENTRES[0].parse().unwrap(),
        region: "reykjavik".parse().unwrap(),
    };
    let mut picker = BackendPicker::new(home);
    for endpoint in 0..endpoints {
        let service = format!("service-{}", endpoint % services);
        let centre = CENTRES[endpoint / services % CENTRES.len()];
        let row = rows::row(&format!("endpoint-{endpoint}"), &service, centre, 1);
        picker.upsert(Duration::ZERO, &row);
    }
    let names = (0..services).map(|service| format!("service-{service}").parse().unwrap());
    (picker, names.collect())
}

fn request(
    picker: &mut BackendPicker,
    now: Duration,
    service: &ServiceName,
    rng: &mut StdRng,
    result: PickResult,
) {
    let key = picker.pick(now, service, &[], rng).unwrap();
    picker.sent(now, key);
    let latency = Duration::from_micros(rng.random_range(2_000..20_000));
    picker.done(
        now + latency,
        key,
        PickReport {
            latency,
            result,
            load: Some(300),
        },
    );
}

fn warm(picker: &mut BackendPicker, services: &[ServiceName], rng: &mut StdRng) {
    for round in 0..20_000usize {
        let now = Duration::from_secs(20) + Duration::from_millis(round as u64);
        let service = &services[round % services.len()];
        request(picker, now, service, rng, PickResult::Answered);
    }
}

fn picks(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("picking");
    for (endpoints, services) in [(10, 2), (100, 20), (1_600, 290), (1_600, 1)] {
        let mut rng = StdRng::seed_from_u64(1);
        let (mut picker, names) = fleet(endpoints, services);
        warm(&mut picker, &names, &mut rng);
        let now = Duration::from_secs(60);
        let size = format!("{endpoints} endpoints, {services} services");
        group.bench_function(BenchmarkId::new("pick", &size), |bencher| {
            let mut turn = 0;
            bencher.iter(|| {
                turn = (turn + 1) % names.len();
                black_box(picker.pick(now, &names[turn], &[], &mut rng))
            });
        });
        group.bench_function(BenchmarkId::new("pick, sent and done", &size), |bencher| {
            let mut turn = 0;
            let mut now = now;
            bencher.iter(|| {
                turn = (turn + 1) % names.len();
                now += Duration::from_micros(100);
                request(
                    &mut picker,
                    now,
                    &names[turn],
                    &mut rng,
                    PickResult::Answered,
                );
            });
        });
    }
    let mut rng = StdRng::seed_from_u64(1);
    let (mut picker, names) = fleet(1_600, 1);
    let now = Duration::from_secs(60);
    let retry_after = Duration::from_secs(10);
    for _ in 0..20_000 {
        request(
            &mut picker,
            now,
            &names[0],
            &mut rng,
            PickResult::Refused { retry_after },
        );
    }
    group.bench_function("pick, all 1600 of a service refuse", |bencher| {
        bencher.iter(|| black_box(picker.pick(now, &names[0], &[], &mut rng)));
    });
    group.finish();
}

fn memory(_: &mut Criterion) {
    let mut rng = StdRng::seed_from_u64(1);
    let before = common::resident_bytes();
    let pickers: Vec<_> = (0..MEMORY_PICKERS).map(|_| fleet(1_600, 290)).collect();
    let each = (common::resident_bytes() - before) / MEMORY_PICKERS;
    println!(
        "memory of a picker, 1600 endpoints in 290 services: {} KB",
        each / 1_024
    );
    for (mut picker, names) in pickers {
        request(
            &mut picker,
            Duration::ZERO,
            &names[0],
            &mut rng,
            PickResult::Answered,
        );
    }
}

criterion_group!(benches, memory, picks);
criterion_main!(benches);
