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
    Mint(usize),
    /// Ticket, sender, whether under another body, and whether the sender
    /// fetched the ticket for this very request.
    Send(usize, usize, bool, bool),
    /// Copy, and whether the network keeps a double of it.
    Deliver(usize, bool),
    Lose(usize),
    Start(usize),
    /// Job, kind of report, and whether it comes again.
    Report(usize, u8, bool),
    /// Owner, and whether its clock was set back to the same start.
    Restart(usize, bool),
    Freeze(usize),
    /// Sender, owner, and whether the row is known at all.
    Refresh(usize, usize, bool),
    Wait(u16),
}

fn steps() -> impl Strategy<Value = Step> {
    let place = 0..64usize;
    let flag = any::<bool>();
    let seldom = prop::bool::weighted(0.1);
    prop_oneof![
        8 => (0..OWNERS).prop_map(Step::Mint),
        20 => (place.clone(), 0..SENDERS, seldom, flag).prop_map(|(a, b, c, d)| Step::Send(a, b, c, d)),
        30 => (place.clone(), flag).prop_map(|(a, b)| Step::Deliver(a, b)),
        1 => place.clone().prop_map(Step::Lose),
        20 => place.clone().prop_map(Step::Start),
        20 => (place, 0..4u8, flag).prop_map(|(a, b, c)| Step::Report(a, b, c)),
        1 => (0..OWNERS, flag).prop_map(|(a, b)| Step::Restart(a, b)),
        1 => (0..OWNERS).prop_map(Step::Freeze),
        1 => (0..SENDERS, 0..OWNERS, flag).prop_map(|(a, b, c)| Step::Refresh(a, b, c)),
        1 => (0..900u16).prop_map(Step::Wait),
    ]
}

/// One copy of a ticketed request.
#[derive(Debug, Clone, Copy)]
struct Sent {
    ticket: usize,
    owner: usize,
    body: bool,
}

/// One handing-over to a backend server.
#[derive(Debug, Clone, Copy)]
struct Job {
    copy: Sent,
    life: u32,
    run: RunKey,
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

/// What each ticket's order really went through, per body.
#[derive(Default, Clone)]
struct Truth {
    runs: [u32; 2],
    told_not_run: [bool; 2],
    sent: bool,
    dropped: bool,
}

struct World {
    now: Duration,
    rng: StdRng,
    nodes: Vec<Node>,
    views: Vec<Vec<Option<MemberRow>>>,
    tickets: Vec<(OnceTicket, usize)>,
    truths: Vec<Truth>,
    copies: Vec<Sent>,
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

fn answer_to(copy: Sent) -> StoredAnswer {
    let body = vec![copy.ticket as u8, copy.body.into()];
    StoredAnswer {
        status: 201,
        headers: vec![],
        body,
    }
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
        let (tickets, copies, jobs) = (self.tickets.len(), self.copies.len(), self.jobs.len());
        match step {
            Step::Mint(owner) => self.mint(owner),
            Step::Send(ticket, sender, body, fresh) if tickets > 0 => {
                self.send(ticket % tickets, sender, body, fresh);
            }
            Step::Deliver(copy, keep) if copies > 0 => self.deliver(copy % copies, keep),
            Step::Lose(copy) if copies > 0 => _ = self.copies.swap_remove(copy % copies),
            Step::Start(job) if jobs > 0 => self.start(job % jobs),
            Step::Report(job, kind, keep) if jobs > 0 => self.report(job % jobs, kind, keep),
            Step::Restart(owner, set_back) => {
                let node = &mut self.nodes[owner];
                let raise = u64::from(!set_back);
                node.row = row(owner, node.row.started.get() + raise);
                node.ledger = ledger(&node.row);
                (node.born, node.frozen) = (self.now, false);
                node.life += 1;
            }
            Step::Freeze(owner) => self.nodes[owner].frozen ^= true,
            Step::Refresh(sender, owner, known) => {
                self.views[sender][owner] = known.then(|| self.nodes[owner].row.clone());
            }
            Step::Wait(seconds) => self.now += Duration::from_secs(seconds.into()),
            _ => {}
        }
    }

    fn mint(&mut self, owner: usize) {
        let node = &mut self.nodes[owner];
        let since = self.now.saturating_sub(node.born);
        let ticket = node.ledger.mint(since, "hotel", &mut self.rng);
        assert_eq!(ticket.to_string().parse(), Ok(ticket.clone()));
        self.tickets.push((ticket, owner));
        self.truths.push(Truth::default());
    }

    fn send(&mut self, ticket: usize, sender: usize, body: bool, fresh: bool) {
        let (paper, owner) = &self.tickets[ticket];
        let truth = &mut self.truths[ticket];
        if truth.dropped {
            return;
        }
        let fresh = fresh && !truth.sent;
        let history = if fresh {
            TicketHistory::FreshHere
        } else {
            TicketHistory::Unknown
        };
        let row = self.views[sender][*owner].as_ref();
        match TicketRouting.decide(paper, &service(), row, history) {
            RoutingDecision::Send => {
                truth.sent = true;
                let owner = *owner;
                self.copies.push(Sent {
                    ticket,
                    owner,
                    body,
                });
            }
            RoutingDecision::Final { outcome, .. } | RoutingDecision::AskAgain { outcome, .. } => {
                truth.dropped = fresh;
                self.tell(ticket, body, outcome);
            }
        }
    }

    fn deliver(&mut self, index: usize, keep: bool) {
        let copy = self.copies[index];
        let node = &mut self.nodes[copy.owner];
        if node.frozen {
            return;
        }
        if !keep {
            self.copies.swap_remove(index);
        }
        let since = self.now.saturating_sub(node.born);
        let ticket = &self.tickets[copy.ticket].0;
        let verdict = node.ledger.admit(since, ticket, copy.body.into());
        if let LedgerVerdict::Run(run) = verdict {
            let life = node.life;
            self.jobs.push(Job {
                copy,
                life,
                run,
                started: false,
                refused: false,
            });
            return;
        }
        if let LedgerVerdict::Replay(answer) = &verdict {
            self.replays += 1;
            assert_eq!(*answer.as_ref(), answer_to(copy), "another order's answer");
        }
        self.tell(copy.ticket, copy.body, verdict.outcome());
    }

    fn start(&mut self, index: usize) {
        let job = &mut self.jobs[index];
        if !job.started && !job.refused {
            job.started = true;
            self.truths[job.copy.ticket].runs[usize::from(job.copy.body)] += 1;
        }
    }

    /// Carries a backend server's word to its node: 0 answered, 1 broke off,
    /// 2 refused and the caller is told, 3 refused and the node tries again.
    fn report(&mut self, index: usize, kind: u8, keep: bool) {
        let job = self.jobs[index];
        let node = &mut self.nodes[job.copy.owner];
        let same_life = node.life == job.life && !node.frozen;
        let may_refuse = !job.started && kind >= 2;
        self.jobs[index].refused |= may_refuse;
        let refused = self.jobs[index].refused;
        let mut told = None;
        match kind {
            _ if !same_life => {}
            0 if job.started => {
                node.ledger.finished(job.run, answer_to(job.copy));
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
            self.tell(job.copy.ticket, job.copy.body, outcome);
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
    let sums = Cell::new([0u64; 4]);
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let cases = prop::collection::vec(steps(), 1..240);
    let result = TestRunner::new(config).run(&cases, |steps| {
        let mut world = World::new();
        let taken = steps.len() as u64;
        for step in steps {
            world.take(step);
        }
        world.check();
        let runs: u32 = world.truths.iter().flat_map(|truth| truth.runs).sum();
        let [a, b, c, d] = sums.get();
        let (replays, maybe_run) = (u64::from(world.replays), u64::from(world.maybe_run));
        sums.set([a + taken, b + u64::from(runs), c + replays, d + maybe_run]);
        Ok(())
    });
    let [taken, runs, replays, maybe_run] = sums.get();
    println!(
        "{CASES} cases, {taken} steps, {runs} runs, {replays} replays, {maybe_run} told maybe-run"
    );
    result.unwrap();
}
