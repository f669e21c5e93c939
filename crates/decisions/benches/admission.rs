//! Cost of a decision as callers grow, gate beside naive twin.

#[path = "../tests/admission_support/mod.rs"]
mod admission_support;

use std::{hint::black_box, time::Duration};

use admission_support::{Guard, gate, naive_queue::NaiveQueue};
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use geranium_decisions::admission::{GateDecision, JobEnd, JobId, JobOffer, JobReport};
use geranium_model::RequestClass;

/// Offers in one round, after which the guard holds what it held before.
const ROUND: u64 = 1_000;
const SLOTS: u16 = 12;

/// A guard kept full: each round offers twice what it lets run.
struct FullGuard<G> {
    guard: G,
    callers: u64,
    offered: u64,
    now: Duration,
    running: Vec<JobId>,
    out: Vec<GateDecision>,
}

impl<G: Guard> FullGuard<G> {
    fn new(guard: G, callers: u64) -> Self {
        let (running, out) = (Vec::new(), Vec::new());
        let now = Duration::ZERO;
        let mut full = Self {
            guard,
            callers,
            offered: 0,
            now,
            running,
            out,
        };
        for _ in 0..10 {
            full.round();
        }
        full
    }

    fn round(&mut self) {
        for step in 0..ROUND {
            self.now += Duration::from_micros(400);
            let offer = JobOffer {
                id: JobId(self.offered),
                class: RequestClass::Short,
                caller: self.offered % self.callers,
                key: Some(self.offered % 97),
                deadline: self.now + Duration::from_secs(30),
            };
            self.offered += 1;
            self.guard.offer(self.now, offer);
            if step % 2 == 0 && !self.running.is_empty() {
                let id = self.running.swap_remove(0);
                let service = Duration::from_millis(10);
                self.guard.finish(
                    self.now,
                    id,
                    JobReport {
                        service,
                        end: JobEnd::Ran,
                    },
                );
            }
            self.guard.poll(self.now, &mut self.out);
            for decision in self.out.drain(..) {
                if let GateDecision::Run(id) = black_box(decision) {
                    self.running.push(id);
                }
            }
        }
    }
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    group.throughput(Throughput::Elements(ROUND));
    for callers in [10, 100, 400, 1_600] {
        for queue in [64, 2_000] {
            let mut full = FullGuard::new(gate(SLOTS, queue), callers);
            let name = format!("gate, queue {queue}");
            let id = BenchmarkId::new(name, callers);
            group.bench_function(id, |bencher| bencher.iter(|| full.round()));
        }
        let mut full = FullGuard::new(NaiveQueue::new(SLOTS), callers);
        let id = BenchmarkId::new("naive", callers);
        group.bench_function(id, |bencher| bencher.iter(|| full.round()));
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
