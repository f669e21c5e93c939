//! Properties of the gate, and its twin where the two have to agree.

mod admission_support;

use std::{collections::BTreeMap, time::Duration};

use admission_support::{Guard, gate, naive_queue::NaiveQueue};
use geranium_decisions::admission::{
    AdmissionGate, AdmissionInput, AdmissionSettings, GateDecision, JobCancel, JobEnd, JobId,
    JobOffer, JobRefusal, JobReport,
};
use geranium_model::{RequestClass, ResultCode};
use proptest::prelude::*;
use strum::VariantArray;

const MS: Duration = Duration::from_millis(1);
const RAN: JobReport = JobReport {
    service: Duration::from_millis(10),
    end: JobEnd::Ran,
};

fn short(id: u64, deadline: Duration) -> JobOffer {
    JobOffer {
        id: JobId(id),
        class: RequestClass::Short,
        caller: id,
        key: None,
        deadline,
    }
}

fn poll(gate: &mut AdmissionGate, now: Duration) -> Vec<GateDecision> {
    let mut out = Vec::new();
    gate.poll(now, &mut out);
    out
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Offer {
        class: RequestClass,
        caller: u64,
        key: Option<u64>,
        patience_ms: u64,
    },
    Finish {
        pick: usize,
        end: JobEnd,
    },
    Cancel {
        pick: usize,
    },
    Wait {
        ms: u64,
    },
    Resize {
        slots: u16,
        queue: u16,
    },
    Drain,
}

fn any_step() -> impl Strategy<Value = Step> {
    let class = prop::sample::select(RequestClass::VARIANTS);
    let end = prop::sample::select(vec![JobEnd::Ran, JobEnd::ShedNotRun, JobEnd::Broke]);
    let offer = (class, 0..6u64, prop::option::of(0..4u64), 0..400u64);
    prop_oneof![
        400 => offer.prop_map(|(class, caller, key, patience_ms)| Step::Offer { class, caller, key, patience_ms }),
        200 => (any::<usize>(), end).prop_map(|(pick, end)| Step::Finish { pick, end }),
        40 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
        200 => (0..30u64).prop_map(|ms| Step::Wait { ms }),
        8 => (1..9u16, 0..20u16).prop_map(|(slots, queue)| Step::Resize { slots, queue }),
        1 => Just(Step::Drain),
    ]
}

/// What a node knows of the jobs it offered.
#[derive(Debug, Default)]
struct JobBook {
    waiting: BTreeMap<u64, JobOffer>,
    running: BTreeMap<u64, (JobOffer, Duration)>,
}

impl JobBook {
    /// Books decisions, each on a job that is still to be decided.
    fn take(&mut self, now: Duration, decisions: Vec<GateDecision>) {
        for decision in decisions {
            match decision {
                GateDecision::Run(JobId(id)) => {
                    let offer = self.waiting.remove(&id).expect("it waited");
                    self.running.insert(id, (offer, now));
                }
                GateDecision::Refuse(JobId(id), refusal) => {
                    assert_ne!(refusal.code, ResultCode::Ok);
                    self.waiting.remove(&id).expect("it hadn't run");
                }
            }
        }
    }

    fn running_bulk(&self) -> usize {
        let running = self.running.values();
        running
            .filter(|(offer, _)| offer.class == RequestClass::Bulk)
            .count()
    }

    fn prompt_waits(&self) -> bool {
        self.waiting
            .values()
            .any(|offer| offer.class != RequestClass::Bulk)
    }
}

proptest! {
    // A failure prints its seed; nothing is kept beside the sources.
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes, each job is decided once, slots and queue hold no more
    /// than they may, and no slot is idle while prompt work waits.
    #[test]
    fn every_job_is_decided_once(steps in prop::collection::vec(any_step(), 1..400)) {
        let (mut slots, mut queue) = (4u16, 8u16);
        let mut gate = gate(slots, queue);
        let mut book = JobBook::default();
        let mut now = Duration::ZERO;
        let mut drained = false;
        for (id, step) in (0u64..).zip(steps) {
            match step {
                Step::Offer { class, caller, key, patience_ms } => {
                    let deadline = now + MS * patience_ms as u32;
                    let offer = JobOffer { id: JobId(id), class, caller, key, deadline };
                    book.waiting.insert(id, offer);
                    gate.offer(now, offer);
                }
                Step::Finish { pick, end } if !book.running.is_empty() => {
                    let id = *book.running.keys().nth(pick % book.running.len()).unwrap();
                    let (_, since) = book.running.remove(&id).unwrap();
                    gate.finish(now, JobId(id), JobReport { service: now.saturating_sub(since), end });
                }
                Step::Cancel { pick } if !book.waiting.is_empty() => {
                    let id = *book.waiting.keys().nth(pick % book.waiting.len()).unwrap();
                    book.waiting.remove(&id);
                    prop_assert_eq!(gate.cancel(now, JobId(id)), JobCancel::Withdrawn);
                    prop_assert_eq!(gate.cancel(now, JobId(id)), JobCancel::Unknown);
                }
                Step::Wait { ms } => now += MS * ms as u32,
                Step::Resize { slots: new_slots, queue: new_queue } => {
                    (slots, queue) = (new_slots, new_queue);
                    let input = AdmissionInput { slots, queue, bulk_share: 0.5 };
                    gate.reconfigure(now, AdmissionSettings::try_from(input).unwrap());
                }
                Step::Drain => {
                    drained = true;
                    gate.start_draining(now);
                }
                Step::Finish { .. } | Step::Cancel { .. } => {}
            }
            let started = book.running.len();
            let started_bulk = book.running_bulk();
            book.take(now, poll(&mut gate, now));
            let gauge = gate.gauge();
            prop_assert_eq!(gauge.running as usize, book.running.len());
            prop_assert_eq!(gauge.waiting as usize, book.waiting.len());
            prop_assert!(book.running.len() <= started.max(usize::from(slots)));
            prop_assert!(book.running_bulk() <= started_bulk.max(usize::from(slots).div_ceil(2)));
            prop_assert!(book.waiting.len() <= usize::from(queue));
            prop_assert!(!book.prompt_waits() || gauge.running >= gauge.limit);
            prop_assert!(book.waiting.values().all(|offer| now < offer.deadline + 5 * MS));
            prop_assert_eq!(gate.next_wake().is_some(), !book.waiting.is_empty());
            prop_assert!(!drained || book.waiting.is_empty());
        }
    }

    /// With room for all, one caller and patience, the gate is its naive twin.
    #[test]
    fn agrees_with_its_twin_when_nothing_is_short(steps in prop::collection::vec(0..3u8, 1..300)) {
        let mut gate = gate(4, 1_000);
        let mut naive = NaiveQueue::new(4);
        let mut now = Duration::ZERO;
        let mut running = std::collections::VecDeque::new();
        for (id, step) in (0u64..).zip(steps) {
            now += MS;
            if step == 0 && let Some(id) = running.pop_front() {
                AdmissionGate::finish(&mut gate, now, id, RAN);
                naive.finish(now, id, RAN);
            } else if step > 0 {
                let offer = JobOffer { caller: 1, ..short(id, Duration::from_secs(3_600)) };
                AdmissionGate::offer(&mut gate, now, offer);
                naive.offer(now, offer);
            }
            let mut expected = Vec::new();
            naive.poll(now, &mut expected);
            let decided = poll(&mut gate, now);
            prop_assert_eq!(&decided, &expected);
            running.extend(decided.iter().map(|decision| match decision {
                GateDecision::Run(id) | GateDecision::Refuse(id, _) => *id,
            }));
        }
    }
}

/// A class was so slow that no caller would wait for it. Were every job of it
/// refused from then on, nothing would ever show that it is fast again.
#[test]
fn a_class_that_was_slow_gets_probed() {
    let mut gate = gate(2, 4);
    let slow = JobReport {
        service: Duration::from_secs(60),
        ..RAN
    };
    let patience = 100 * MS;
    let mut now = Duration::ZERO;
    let mut refused = 0;
    for id in 0..200 {
        gate.offer(now, short(2 * id, now + patience));
        gate.offer(now, short(2 * id + 1, now + patience));
        for decision in poll(&mut gate, now) {
            match decision {
                GateDecision::Run(job) => gate.finish(now, job, if id < 2 { slow } else { RAN }),
                GateDecision::Refuse(_, refusal) => {
                    assert_eq!(refusal.code, ResultCode::DeadlineUnreachable);
                    refused += 1;
                }
            }
        }
        now += 20 * MS;
    }
    assert!((1..150).contains(&refused), "{refused} refused");
    gate.offer(now, short(1_000, now + patience));
    gate.offer(now, short(1_001, now + patience));
    assert_eq!(poll(&mut gate, now).len(), 2);
    assert_eq!(gate.gauge().running, 2);
}

/// The backend server hangs: nothing ends any more. What waits would be held
/// to its deadline, and its callers would have no time left to ask elsewhere.
#[test]
fn what_waits_is_refused_early_when_the_server_hangs() {
    let mut gate = gate(2, 64);
    let mut now = Duration::ZERO;
    for id in 0..20 {
        gate.offer(now, short(id, Duration::from_secs(60)));
        poll(&mut gate, now);
        now += 10 * MS;
        gate.finish(now, JobId(id), RAN);
    }
    let deadline = now + Duration::from_secs(10);
    for id in 100..142 {
        gate.offer(now, short(id, deadline));
    }
    poll(&mut gate, now);
    let mut refused_at = Vec::new();
    while let Some(wake) = gate.next_wake()
        && wake < deadline
    {
        now = wake;
        refused_at.extend(poll(&mut gate, now).iter().map(|_| now));
    }
    assert_eq!(refused_at.len(), 40);
    assert!(
        refused_at[20] + Duration::from_secs(3) < deadline,
        "{refused_at:?}"
    );
}

/// A refused caller comes back when told to. Advice that isn't measured sends
/// everybody back into a queue that is as full as before.
#[test]
fn retry_after_is_the_time_the_queue_takes_to_drain() {
    let mut gate = gate(2, 10);
    let mut now = Duration::ZERO;
    let mut running = Vec::new();
    let mut last: Option<JobRefusal> = None;
    for id in 0..400 {
        for offset in 0..4 {
            gate.offer(now, short(4 * id + offset, now + Duration::from_secs(5)));
        }
        for decision in poll(&mut gate, now) {
            match decision {
                GateDecision::Run(job) => running.push(job),
                GateDecision::Refuse(_, refusal) => last = Some(refusal),
            }
        }
        now += 10 * MS;
        for job in running.drain(..) {
            gate.finish(now, job, RAN);
        }
        for decision in poll(&mut gate, now) {
            if let GateDecision::Run(job) = decision {
                running.push(job);
            }
        }
    }
    let retry_after = last.unwrap().retry_after;
    assert!(
        (40 * MS..70 * MS).contains(&retry_after),
        "{retry_after:?} for 11 jobs at 200/s"
    );
}

/// Half the slots run archives when the server sheds and the limit falls to
/// their number. Were their slots counted in full, no price lookup would run until an archive ended.
#[test]
fn a_cut_keeps_slots_for_prompt_work() {
    let mut gate = gate(12, 64);
    let hour = Duration::from_secs(3_600);
    for id in 0..6 {
        gate.offer(
            Duration::ZERO,
            JobOffer {
                class: RequestClass::Bulk,
                ..short(id, hour)
            },
        );
    }
    gate.offer(Duration::ZERO, short(6, hour));
    assert_eq!(poll(&mut gate, Duration::ZERO).len(), 7);
    let end = JobEnd::ShedNotRun;
    gate.finish(MS, JobId(6), JobReport { end, ..RAN });
    assert_eq!(gate.gauge().limit, 6);
    gate.offer(MS, short(20, hour));
    assert_eq!(poll(&mut gate, MS), [GateDecision::Run(JobId(20))]);
}

/// The server leaves. What waits hasn't reached it, so it is refused as not
/// run; what runs goes on to its end.
#[test]
fn draining_refuses_what_waits_and_cuts_off_nothing() {
    let mut gate = gate(1, 8);
    let later = Duration::from_secs(9);
    gate.offer(MS, short(1, later));
    gate.offer(MS, short(2, later));
    poll(&mut gate, MS);
    gate.start_draining(MS);
    gate.offer(MS, short(3, later));
    let draining = JobRefusal {
        code: ResultCode::Draining,
        retry_after: Duration::ZERO,
    };
    let refused = [2, 3].map(|id| GateDecision::Refuse(JobId(id), draining));
    assert_eq!(poll(&mut gate, MS), refused);
    assert_eq!(gate.cancel(MS, JobId(1)), JobCancel::Running);
    gate.finish(2 * MS, JobId(1), RAN);
    assert_eq!(gate.gauge().running, 0);
}

#[test]
fn settings_are_checked() {
    let good = AdmissionInput {
        slots: 12,
        queue: 0,
        bulk_share: 1.0,
    };
    assert!(AdmissionSettings::try_from(good).is_ok());
    for bad in [
        AdmissionInput { slots: 0, ..good },
        AdmissionInput {
            bulk_share: 0.0,
            ..good
        },
        AdmissionInput {
            bulk_share: 1.1,
            ..good
        },
        AdmissionInput {
            bulk_share: f64::NAN,
            ..good
        },
    ] {
        let error = AdmissionSettings::try_from(bad).unwrap_err();
        assert_eq!(error.code(), ResultCode::BadSetting);
    }
}

/// Ten callers ask for one key before an eleventh asks for another. By caller
/// all are equal, so only the key's own tags let the eleventh run before the
/// rest of them.
#[test]
fn another_key_runs_before_the_rest_of_a_hot_one() {
    let mut gate = gate(1, 64);
    let hour = Duration::from_secs(3_600);
    for id in 0..10 {
        gate.offer(
            MS,
            JobOffer {
                key: Some(1),
                ..short(id, hour)
            },
        );
    }
    gate.offer(
        MS,
        JobOffer {
            key: Some(2),
            ..short(10, hour)
        },
    );
    let mut order = Vec::new();
    for _ in 0..3 {
        for decision in poll(&mut gate, MS) {
            if let GateDecision::Run(job) = decision {
                order.push(job.0);
                gate.finish(MS, job, RAN);
            }
        }
    }
    assert!(order.contains(&10), "{order:?}");
}

/// A caller's long jobs were charged for what jobs of their class usually
/// take. Until they end its account looks small, and it would get each slot
/// that falls free.
#[test]
fn who_holds_a_share_of_the_slots_stands_back() {
    let mut gate = gate(4, 64);
    let hour = Duration::from_secs(3_600);
    let by = |id, caller| JobOffer {
        caller,
        ..short(id, hour)
    };
    for id in 0..6 {
        gate.offer(MS, by(id, 1));
    }
    gate.offer(MS, by(6, 2));
    assert_eq!(poll(&mut gate, MS).len(), 4);
    gate.finish(2 * MS, JobId(0), RAN);
    assert_eq!(poll(&mut gate, 2 * MS), [GateDecision::Run(JobId(6))]);
}

/// Archives wait in half of the queue when lookups fill the rest. Were their
/// places theirs for good, the queue for short work would be half as long for
/// minutes.
#[test]
fn prompt_work_takes_queue_places_from_bulk() {
    let mut gate = gate(1, 8);
    let hour = Duration::from_secs(3_600);
    gate.offer(MS, short(0, hour));
    for id in 1..5 {
        gate.offer(
            MS,
            JobOffer {
                class: RequestClass::Bulk,
                ..short(id, hour)
            },
        );
    }
    for id in 5..9 {
        gate.offer(MS, short(id, hour));
    }
    assert_eq!(poll(&mut gate, MS).len(), 1);
    gate.offer(MS, short(9, hour));
    let decided = poll(&mut gate, MS);
    let [GateDecision::Refuse(JobId(4), refusal)] = decided[..] else {
        panic!("{decided:?}");
    };
    assert_eq!(refusal.code, ResultCode::BulkShareFull);
}

/// The server was slow while a queue was last seen, and fast ever since. A rate
/// remembered from then would refuse a burst that ends well in time.
#[test]
fn a_burst_is_not_judged_by_an_old_rate() {
    let mut gate = gate(2, 64);
    let patience = Duration::from_secs(30);
    let mut now = Duration::ZERO;
    let mut run_for =
        |gate: &mut AdmissionGate, ids: std::ops::Range<u64>, at_once: usize, service| {
            for chunk in ids.collect::<Vec<_>>().chunks(at_once) {
                for id in chunk {
                    gate.offer(now, short(*id, now + patience));
                }
                let mut decided = poll(gate, now);
                while !decided.is_empty() {
                    now += service;
                    for decision in std::mem::take(&mut decided) {
                        if let GateDecision::Run(job) = decision {
                            gate.finish(
                                now,
                                job,
                                JobReport {
                                    service,
                                    end: JobEnd::Ran,
                                },
                            );
                        }
                    }
                    decided = poll(gate, now);
                }
            }
            now
        };
    run_for(&mut gate, 0..60, 20, 100 * MS);
    let now = run_for(&mut gate, 100..400, 1, 10 * MS);
    for id in 1_000..1_020 {
        gate.offer(now, short(id, now + 200 * MS));
    }
    assert_eq!(poll(&mut gate, now).len(), 2, "the rest waits");
}
