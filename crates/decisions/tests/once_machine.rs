//! At-most-once under every crossing of resends, deaths, freezes and losses.
//!
//! A till sends one order several times through several nodes. Copies and
//! reports overtake each other, are doubled and lost; the owner's node
//! freezes, dies and returns under its old name, at times with its old start
//! number, while its backend server works on. The hotel must get one order.

mod common;

use std::{cell::Cell, time::Duration};

use geranium_decisions::once::{
    LedgerSettings, LedgerVerdict, OnceTicket, RoutingDecision, RunKey, StoredAnswer,
    TicketHistory, TicketLedger, TicketOwner, TicketRouting,
};
use geranium_model::{MemberRow, Outcome, ServiceName};
use proptest::{
    prelude::*,
    test_runner::{Config, TestRunner},
};
use rand::{SeedableRng, rngs::StdRng};

const CASES: u32 = 6_000;
const OWNERS: usize = 2;
const SENDERS: usize = 3;
const RECORDS: usize = 4;
const ANSWER_BYTES: usize = 4;

#[derive(Debug, Clone, Copy)]
enum Step {
    Mint {
        owner: usize,
    },
    Send {
        ticket: usize,
        sender: usize,
        body: bool,
    },
    Deliver {
        copy: usize,
        keep: bool,
    },
    Lose {
        copy: usize,
    },
    Start {
        job: usize,
    },
    Report {
        job: usize,
        kind: u8,
        keep: bool,
    },
    Restart {
        owner: usize,
        clock_set_back: bool,
    },
    Freeze {
        owner: usize,
    },
    Refresh {
        sender: usize,
        owner: usize,
    },
    Wait {
        seconds: u16,
    },
}

fn steps() -> impl Strategy<Value = Step> {
    let place = 0..64usize;
    let flag = any::<bool>();
    let step = prop_oneof![
        8 => (0..OWNERS).prop_map(|owner| Step::Mint { owner }),
        20 => (place.clone(), 0..SENDERS, prop::bool::weighted(0.1))
            .prop_map(|(ticket, sender, body)| Step::Send { ticket, sender, body }),
        30 => (place.clone(), flag).prop_map(|(copy, keep)| Step::Deliver { copy, keep }),
        1 => place.clone().prop_map(|copy| Step::Lose { copy }),
        20 => place.clone().prop_map(|job| Step::Start { job }),
        20 => (place, 0..4u8, flag).prop_map(|(job, kind, keep)| Step::Report { job, kind, keep }),
        1 => (0..OWNERS, flag)
            .prop_map(|(owner, clock_set_back)| Step::Restart { owner, clock_set_back }),
        1 => (0..OWNERS).prop_map(|owner| Step::Freeze { owner }),
        1 => (0..SENDERS, 0..OWNERS).prop_map(|(sender, owner)| Step::Refresh { sender, owner }),
        1 => (0..900u16).prop_map(|seconds| Step::Wait { seconds }),
    ];
    step.boxed()
}

/// One handing-over to a backend server.
#[derive(Debug, Clone, Copy)]
struct Job {
    owner: usize,
    life: u32,
    run: RunKey,
    ticket: usize,
    body: bool,
    started: bool,
    refused: bool,
}

struct Node {
    ledger: TicketLedger,
    row: MemberRow,
    born: Duration,
    life: u32,
    frozen: bool,
}

#[derive(Default)]
struct Copy {
    ticket: usize,
    owner: usize,
    body: bool,
}

/// What each ticket's order really went through, per body.
#[derive(Default, Clone)]
struct Truth {
    runs: [u32; 2],
    told_not_run: [bool; 2],
}

struct World {
    now: Duration,
    rng: StdRng,
    nodes: Vec<Node>,
    views: Vec<Vec<Option<MemberRow>>>,
    tickets: Vec<(OnceTicket, usize)>,
    truths: Vec<Truth>,
    copies: Vec<Copy>,
    jobs: Vec<Job>,
    maybe_run: u32,
    replays: u32,
}

fn service() -> ServiceName {
    "pantanir".parse().unwrap()
}

fn row(owner: usize, started: u64) -> MemberRow {
    common::row(&format!("till-{owner}"), "pantanir", "hofdi", started)
}

fn ledger(row: &MemberRow) -> TicketLedger {
    let owner = TicketOwner {
        instance: row.instance.clone(),
        started: row.started,
    };
    let settings = LedgerSettings {
        records_max: RECORDS,
        answer_bytes_max: ANSWER_BYTES,
        ..Default::default()
    };
    TicketLedger::new(owner, settings)
}

impl World {
    fn new() -> Self {
        let node = |owner| {
            let row = row(owner, 100);
            Node {
                ledger: ledger(&row),
                row,
                born: Duration::ZERO,
                life: 0,
                frozen: false,
            }
        };
        let nodes: Vec<Node> = (0..OWNERS).map(node).collect();
        let view: Vec<_> = nodes.iter().map(|node| Some(node.row.clone())).collect();
        Self {
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(7),
            nodes,
            views: vec![view; SENDERS],
            tickets: Vec::new(),
            truths: Vec::new(),
            copies: Vec::new(),
            jobs: Vec::new(),
            maybe_run: 0,
            replays: 0,
        }
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Mint { owner } => {
                let node = &mut self.nodes[owner];
                let since = self.now.saturating_sub(node.born);
                let ticket = node.ledger.mint(since, "hotel", &mut self.rng);
                let read: OnceTicket = ticket.to_string().parse().unwrap();
                assert_eq!(read, ticket);
                self.tickets.push((ticket, owner));
                self.truths.push(Truth::default());
            }
            Step::Send {
                ticket,
                sender,
                body,
            } if !self.tickets.is_empty() => {
                self.send(ticket % self.tickets.len(), sender, body);
            }
            Step::Deliver { copy, keep } if !self.copies.is_empty() => {
                self.deliver(copy % self.copies.len(), keep);
            }
            Step::Lose { copy } if !self.copies.is_empty() => {
                self.copies.swap_remove(copy % self.copies.len());
            }
            Step::Start { job } if !self.jobs.is_empty() => self.start(job % self.jobs.len()),
            Step::Report { job, kind, keep } if !self.jobs.is_empty() => {
                self.report(job % self.jobs.len(), kind, keep);
            }
            Step::Restart {
                owner,
                clock_set_back,
            } => {
                let node = &mut self.nodes[owner];
                let raise = u64::from(!clock_set_back);
                node.row = row(owner, node.row.started.get() + raise);
                node.ledger = ledger(&node.row);
                (node.born, node.frozen) = (self.now, false);
                node.life += 1;
            }
            Step::Freeze { owner } => self.nodes[owner].frozen ^= true,
            Step::Refresh { sender, owner } => {
                self.views[sender][owner] = Some(self.nodes[owner].row.clone());
            }
            Step::Wait { seconds } => self.now += Duration::from_secs(seconds.into()),
            _ => {}
        }
    }

    fn send(&mut self, ticket: usize, sender: usize, body: bool) {
        let (paper, owner) = &self.tickets[ticket];
        let row = self.views[sender][*owner].as_ref();
        match TicketRouting.decide(paper, &service(), row, TicketHistory::Unknown) {
            RoutingDecision::Send => {
                let owner = *owner;
                self.copies.push(Copy {
                    ticket,
                    owner,
                    body,
                });
            }
            RoutingDecision::Final { outcome, .. } | RoutingDecision::AskAgain { outcome, .. } => {
                self.tell(ticket, body, outcome);
            }
        }
    }

    fn deliver(&mut self, index: usize, keep: bool) {
        let Copy {
            ticket,
            owner,
            body,
        } = self.copies[index];
        let node = &mut self.nodes[owner];
        if node.frozen {
            return;
        }
        if !keep {
            self.copies.swap_remove(index);
        }
        let since = self.now.saturating_sub(node.born);
        let verdict = node
            .ledger
            .admit(since, &self.tickets[ticket].0, body.into());
        if let LedgerVerdict::Run(run) = verdict {
            let life = node.life;
            let job = Job {
                owner,
                life,
                run,
                ticket,
                body,
                started: false,
                refused: false,
            };
            self.jobs.push(job);
            return;
        }
        if let LedgerVerdict::Replay(answer) = &verdict {
            self.replays += 1;
            assert_eq!(
                answer.body,
                [ticket as u8, body.into()],
                "another order's answer"
            );
        }
        self.tell(ticket, body, verdict.outcome());
    }

    fn start(&mut self, index: usize) {
        let job = &mut self.jobs[index];
        if !job.started && !job.refused {
            job.started = true;
            self.truths[job.ticket].runs[usize::from(job.body)] += 1;
        }
    }

    /// Carries a backend server's word to its node: 0 answered, 1 broke off,
    /// 2 refused and the caller is told, 3 refused and the node tries again.
    fn report(&mut self, index: usize, kind: u8, keep: bool) {
        let job = self.jobs[index];
        let node = &mut self.nodes[job.owner];
        let same_life = node.life == job.life && !node.frozen;
        let may_refuse = !job.started && kind >= 2;
        self.jobs[index].refused |= may_refuse;
        let refused = self.jobs[index].refused;
        let answer = StoredAnswer {
            status: 201,
            headers: vec![],
            body: vec![job.ticket as u8, job.body.into()],
        };
        let mut told = None;
        match kind {
            _ if !same_life => {}
            0 if job.started => {
                node.ledger.finished(job.run, answer);
                told = Some(Outcome::Ran);
            }
            1 => {
                node.ledger.broke(job.run);
                told = Some(Outcome::MaybeRun);
            }
            2 if refused => {
                let proved = node.ledger.retire(job.run);
                told = Some(if proved {
                    Outcome::NotRun
                } else {
                    Outcome::MaybeRun
                });
            }
            3 if refused => node.ledger.not_run(job.run),
            _ => return,
        }
        if let Some(outcome) = told {
            self.tell(job.ticket, job.body, outcome);
        }
        if !keep && (job.started || refused) {
            self.jobs.swap_remove(index);
        }
    }

    fn tell(&mut self, ticket: usize, body: bool, outcome: Outcome) {
        let truth = &mut self.truths[ticket];
        match outcome {
            Outcome::NotRun => truth.told_not_run[usize::from(body)] = true,
            Outcome::MaybeRun => self.maybe_run += 1,
            Outcome::Ran => assert!(truth.runs[usize::from(body)] > 0, "told ran, did not"),
        }
    }

    fn check(&self) {
        for node in &self.nodes {
            assert!(node.ledger.len() <= RECORDS && node.ledger.answer_bytes() <= ANSWER_BYTES);
        }
        for truth in &self.truths {
            assert!(truth.runs.iter().sum::<u32>() <= 1, "an order ran twice");
            for (runs, told) in truth.runs.iter().zip(truth.told_not_run) {
                assert!(!told || *runs == 0, "told not run, and it ran");
            }
        }
    }
}

#[test]
fn each_ticket_runs_at_most_once() {
    let (taken, maybe, replays) = (Cell::new(0u64), Cell::new(0u64), Cell::new(0u64));
    let runs = Cell::new(0u64);
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let cases = prop::collection::vec(steps(), 1..240);
    let result = runner.run(&cases, |steps| {
        let mut world = World::new();
        taken.set(taken.get() + steps.len() as u64);
        for step in steps {
            world.take(step);
        }
        world.check();
        maybe.set(maybe.get() + u64::from(world.maybe_run));
        replays.set(replays.get() + u64::from(world.replays));
        let ran: u32 = world.truths.iter().flat_map(|truth| truth.runs).sum();
        runs.set(runs.get() + u64::from(ran));
        Ok(())
    });
    println!(
        "{CASES} cases, {} steps, {} runs, {} replays, {} told maybe-run",
        taken.get(),
        runs.get(),
        replays.get(),
        maybe.get()
    );
    result.unwrap();
}
