//! Tickets in the crossings that the users fear most.

mod common;

use std::time::Duration;

use geranium_decisions::once::{
    LedgerSettings, LedgerVerdict, OnceTicket, RoutingDecision, RunKey, StoredAnswer,
    TicketHistory, TicketLedger, TicketOwner, TicketRouting,
};
use geranium_model::{Incarnation, MemberRow, MemberState, Outcome, ResultCode};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};

const ORDER: u64 = 7;

fn ledger(started: u64, settings: LedgerSettings) -> TicketLedger {
    let instance = "till-1".parse().unwrap();
    let started = Incarnation::new(started);
    TicketLedger::new(TicketOwner { instance, started }, settings)
}

fn answer(bytes: usize) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        headers: vec![],
        body: vec![0; bytes],
    }
}

fn run_of(verdict: &LedgerVerdict) -> RunKey {
    match verdict {
        LedgerVerdict::Run(run) => *run,
        other => panic!("not run: {other:?}"),
    }
}

/// Answers are lost on their way and nodes are replaced. The naive node keeps
/// no record and the caller resends anywhere; the hotel gets two invoices.
/// With tickets nobody does, and only those whose node was replaced between
/// two copies are told that the order may have run.
#[test]
fn resends_anywhere_run_twice_and_tickets_never() {
    const ORDERS: u32 = 20_000;
    let mut rng = StdRng::seed_from_u64(1);
    let (mut naive_twice, mut ticket_twice, mut maybe_run, mut replaced) = (0, 0, 0, 0);
    let mut started = 1;
    let mut owner = ledger(started, LedgerSettings::default());
    for order in 0..ORDERS {
        let now = Duration::from_millis(100) * order;
        let ticket = owner.mint(now, "hotel", &mut rng);
        let (mut naive_runs, mut ticket_runs) = (0, 0);
        for _copy in 0..3 {
            naive_runs += 1;
            let verdict = owner.admit(now, &ticket, ORDER);
            if let LedgerVerdict::Run(run) = verdict {
                ticket_runs += 1;
                owner.finished(run, answer(20));
            } else if verdict.outcome() == Outcome::MaybeRun {
                maybe_run += 1;
                break;
            }
            let lost = rng.random_bool(0.05);
            if !lost {
                break;
            }
            if rng.random_bool(0.1) {
                started += 1;
                replaced += 1;
                owner = ledger(started, LedgerSettings::default());
            }
        }
        naive_twice += u32::from(naive_runs > 1);
        ticket_twice += u32::from(ticket_runs > 1);
    }
    println!(
        "of {ORDERS} orders: naive twice {naive_twice}, tickets twice {ticket_twice}, \
         told maybe-run {maybe_run} after {replaced} replaced nodes"
    );
    assert!(naive_twice > ORDERS / 50);
    assert_eq!(ticket_twice, 0);
    assert!(maybe_run <= replaced);
}

/// The owner's node freezes with an order running; the resend finds no one and
/// is told to ask again. The node thaws, the backend server's answer is there,
/// and the next resend gets it.
#[test]
fn a_thawed_owner_replays() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut owner = ledger(1, LedgerSettings::default());
    let ticket = owner.mint(Duration::ZERO, "hotel", &mut rng);
    let run = run_of(&owner.admit(Duration::ZERO, &ticket, ORDER));
    let asked = TicketRouting.unreachable(TicketHistory::Unknown);
    let outcome = Outcome::MaybeRun;
    let code = ResultCode::NodeUnreachable;
    assert_eq!(asked, RoutingDecision::AskAgain { code, outcome });
    owner.finished(run, answer(3));
    let thawed = Duration::from_secs(300);
    let verdict = owner.admit(thawed, &ticket, ORDER);
    assert!(matches!(verdict, LedgerVerdict::Replay(_)));
}

/// The node restarts and its backend server works on with the order. The row
/// of the new start ends the ticket at every sender, and the new node refuses
/// a copy whose sender hasn't heard yet. Stale and missing rows decide nothing.
#[test]
fn a_restarted_owner_ends_its_tickets() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut owner = ledger(5, LedgerSettings::default());
    let ticket = owner.mint(Duration::ZERO, "hotel", &mut rng);
    let mut restarted = ledger(6, LedgerSettings::default());
    let verdict = restarted.admit(Duration::ZERO, &ticket, ORDER);
    assert_eq!(verdict, LedgerVerdict::Refuse(ResultCode::TicketOwnerGone));
    assert_eq!(verdict.outcome(), Outcome::MaybeRun);

    let service = "pantanir".parse().unwrap();
    let row = |started| common::row("till-1", "pantanir", "hofdi", started);
    let decide = |row: Option<&MemberRow>| {
        TicketRouting.decide(&ticket, &service, row, TicketHistory::Unknown)
    };
    let gone = RoutingDecision::Final {
        code: ResultCode::TicketOwnerGone,
        outcome: Outcome::MaybeRun,
    };
    assert_eq!(decide(Some(&row(6))), gone);
    assert_eq!(decide(Some(&row(5))), RoutingDecision::Send);
    assert_eq!(decide(Some(&row(4))), RoutingDecision::Send);
    let mut left = row(5);
    left.state = MemberState::Draining;
    assert_eq!(decide(Some(&left)), RoutingDecision::Send);
    left.state = MemberState::Gone;
    assert_eq!(decide(Some(&left)), gone);
    assert!(matches!(decide(None), RoutingDecision::AskAgain { .. }));
    let neighbour = common::row("till-2", "pantanir", "hofdi", 5);
    assert!(matches!(
        decide(Some(&neighbour)),
        RoutingDecision::AskAgain { .. }
    ));
}

/// One caller takes tickets in a loop and uses them all. Another's ticket,
/// taken before, must still run, and nobody's used ticket may be forgotten.
#[test]
fn a_hog_pushes_nobody_out() {
    let mut rng = StdRng::seed_from_u64(1);
    let settings = LedgerSettings {
        records_max: 1_000,
        ..LedgerSettings::default()
    };
    let mut owner = ledger(1, settings);
    let now = Duration::from_secs(1);
    let quiet = owner.mint(now, "hotel", &mut rng);
    let hog: Vec<OnceTicket> = (0..5_000)
        .map(|_| owner.mint(now, "hog", &mut rng))
        .collect();
    assert_eq!(owner.len(), 0);
    let verdicts = hog.iter().map(|ticket| owner.admit(now, ticket, ORDER));
    let refused = LedgerVerdict::Refuse(ResultCode::CallerOverShare);
    assert_eq!(
        verdicts.filter(|verdict| *verdict == refused).count(),
        4_500
    );
    run_of(&owner.admit(now, &quiet, ORDER));
    assert_eq!(owner.admit(now, &hog[0], ORDER), LedgerVerdict::Running);
    let over = settings.use_within + settings.keep + Duration::from_secs(2);
    let next = owner.mint(over, "hotel", &mut rng);
    assert_eq!(owner.len(), 0);
    assert_eq!(
        owner.admit(over, &quiet, ORDER),
        LedgerVerdict::Refuse(ResultCode::TicketExpired)
    );
    run_of(&owner.admit(over, &next, ORDER));
}

/// Answers pile up. The oldest make room, their orders still count as run, and
/// one caller's large answers don't grow the memory past its bound.
#[test]
fn answers_make_room_and_stay_run() {
    let mut rng = StdRng::seed_from_u64(1);
    let settings = LedgerSettings {
        answer_bytes_max: 1_000,
        one_answer_bytes_max: 400,
        ..LedgerSettings::default()
    };
    let mut owner = ledger(1, settings);
    let now = Duration::from_secs(1);
    let mut verdict_after = |size| {
        let ticket = owner.mint(now, "hotel", &mut rng);
        let run = run_of(&owner.admit(now, &ticket, ORDER));
        owner.finished(run, answer(size));
        owner.finished(run, answer(size));
        assert!(owner.answer_bytes() <= 1_000);
        let filler = (0..3).map(|_| owner.mint(now, "hotel", &mut rng));
        for filler in filler.collect::<Vec<_>>() {
            let run = run_of(&owner.admit(now, &filler, ORDER));
            owner.finished(run, answer(250));
        }
        owner.admit(now, &ticket, ORDER)
    };
    assert!(matches!(verdict_after(250), LedgerVerdict::Replay(_)));
    assert_eq!(verdict_after(300), LedgerVerdict::RanAnswerDropped);
    assert_eq!(verdict_after(401), LedgerVerdict::RanAnswerDropped);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A mangled header must never pass as another ticket.
    #[test]
    fn only_exact_texts_parse(text in "1:[a-z0-9+:-]{1,12}(:[0-9a-fA-F+]{1,17}){5}") {
        if let Ok(ticket) = text.parse::<OnceTicket>() {
            prop_assert_eq!(ticket.to_string(), text);
        }
    }
}
