//! Cost of the ticket ledger when it is nearly full, and its memory.

mod common;

use std::{hint::black_box, time::Duration};

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use geranium_decisions::once::{
    LedgerSettings, LedgerVerdict, OnceTicket, StoredAnswer, TicketLedger, TicketOwner,
};
use geranium_decisions::poison::{PoisonRegister, fingerprint};
use geranium_model::{CrashRow, FleetPolicy, Incarnation};
use rand::{SeedableRng, rngs::StdRng};

const RECORDS: usize = 65_000;
const NOW: Duration = Duration::from_secs(1);

fn full(rng: &mut StdRng, body: usize) -> (TicketLedger, Vec<OnceTicket>) {
    let owner = TicketOwner {
        instance: "till-1".parse().unwrap(),
        started: Incarnation::new(1),
    };
    let mut ledger = TicketLedger::new(owner, LedgerSettings::default());
    let mut tickets = Vec::new();
    for number in 0..RECORDS {
        let caller = format!("caller-{}", number % 100);
        let ticket = ledger.mint(NOW, &caller, rng);
        let LedgerVerdict::Run(run) = ledger.admit(NOW, &ticket, 7) else {
            unreachable!("a new ticket runs");
        };
        if body > 0 {
            let answer = StoredAnswer {
                status: 201,
                headers: vec![],
                body: vec![1; body],
            };
            ledger.finished(run, answer);
        }
        tickets.push(ticket);
    }
    (ledger, tickets)
}

/// Prints memory before anything is freed, which the next would use again.
fn memory(_: &mut Criterion) {
    let mut rng = StdRng::seed_from_u64(1);
    let before = common::resident_bytes();
    let register = crashed(10_000);
    let grown = common::resident_bytes() - before;
    println!("memory of a full poison register: {} KB", grown / 1_024);
    let mut ledgers = Vec::new();
    for body in [0, 200] {
        let before = common::resident_bytes();
        let (ledger, tickets) = full(&mut rng, body);
        let grown = common::resident_bytes() - before;
        let records = ledger.len();
        println!(
            "memory of {records} records and the test's tickets, answers of {body} bytes: {} KB",
            grown / 1_024
        );
        ledgers.push((ledger, tickets));
    }
    black_box((register, ledgers));
}

fn crashed(rows: u64) -> PoisonRegister {
    let mut register = PoisonRegister::new(FleetPolicy::default());
    for row in 0..rows {
        let instance = format!("till-{}", row / 12).parse().unwrap();
        let announced = Incarnation::new(1);
        let row = CrashRow {
            fingerprint: row,
            instance,
            announced,
        };
        register.record(NOW, row);
    }
    register
}

fn tickets(criterion: &mut Criterion) {
    let mut rng = StdRng::seed_from_u64(1);
    let (mut ledger, tickets) = full(&mut rng, 200);
    let text = tickets[9].to_string();
    let mut group = criterion.benchmark_group("once");
    group.bench_function("mint", |bencher| {
        bencher.iter(|| black_box(ledger.mint(NOW, "hotel", &mut rng)));
    });
    group.bench_function("parse", |bencher| {
        bencher.iter(|| black_box(text.parse::<OnceTicket>()));
    });
    group.bench_function("admit, replay among 65000", |bencher| {
        let mut turn = 0;
        bencher.iter(|| {
            turn = (turn + 7_919) % RECORDS;
            black_box(ledger.admit(NOW, &tickets[turn], 7))
        });
    });
    group.bench_function("mint, admit, finish and forget", |bencher| {
        let (mut ledger, _) = full(&mut rng, 0);
        let mut now = NOW + Duration::from_secs(1_300);
        bencher.iter_batched(
            || StoredAnswer {
                status: 201,
                headers: vec![],
                body: vec![1; 200],
            },
            |answer| {
                now += Duration::from_millis(20);
                let ticket = ledger.mint(now, "hotel", &mut rng);
                if let LedgerVerdict::Run(run) = ledger.admit(now, &ticket, 7) {
                    ledger.finished(run, answer);
                }
            },
            BatchSize::SmallInput,
        );
    });
    group.finish();
}

fn poison(criterion: &mut Criterion) {
    let mut register = crashed(4_095);
    let again = CrashRow {
        fingerprint: 9,
        instance: "till-again".parse().unwrap(),
        announced: Incarnation::new(1),
    };
    register.record(NOW, again);
    let mut group = criterion.benchmark_group("poison");
    let body = vec![7; 2_048];
    group.bench_function("fingerprint of 2 KB", |bencher| {
        bencher.iter(|| fingerprint("POST", "/orders", None, black_box(&body)));
    });
    for (name, print) in [("clear", 90_000), ("suspect", 8), ("refused", 9)] {
        group.bench_function(format!("verdict, {name}"), |bencher| {
            bencher.iter(|| black_box(register.verdict(NOW, black_box(print))));
        });
    }
    group.finish();
}

criterion_group!(benches, memory, tickets, poison);
criterion_main!(benches);
