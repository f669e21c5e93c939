//! The owner's record of its tickets.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use geranium_model::ResultCode;
use rand::Rng;

use super::{
    answer_store::AnswerStore,
    caller_tag::CallerTag,
    ledger_settings::LedgerSettings,
    ledger_verdict::LedgerVerdict,
    once_ticket::OnceTicket,
    run_key::RunKey,
    stored_answer::StoredAnswer,
    ticket_owner::TicketOwner,
    ticket_record::{RecordState, TicketRecord},
    ticket_seal::TicketSeal,
};

/// Lets each ticket's request run at most once.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use geranium_decisions::once::{
///     LedgerSettings, LedgerVerdict, StoredAnswer, TicketLedger, TicketOwner,
/// };
/// use geranium_model::Incarnation;
///
/// let owner = TicketOwner { instance: "till-1".parse()?, started: Incarnation::new(1) };
/// let mut ledger = TicketLedger::new(owner, LedgerSettings::default());
/// let now = Duration::from_secs(1);
/// let ticket = ledger.mint(now, "hotel", &mut rand::rng());
///
/// let LedgerVerdict::Run(run) = ledger.admit(now, &ticket, 7) else { panic!() };
/// assert_eq!(ledger.admit(now, &ticket, 7), LedgerVerdict::Running);
/// let answer = StoredAnswer { status: 201, headers: vec![], body: b"order 9".to_vec() };
/// ledger.finished(run, answer);
/// assert!(matches!(ledger.admit(now, &ticket, 7), LedgerVerdict::Replay(_)));
/// # Ok::<(), geranium_model::NameError>(())
/// ```
#[derive(Debug)]
pub struct TicketLedger {
    owner: TicketOwner,
    settings: LedgerSettings,
    seal: Option<TicketSeal>,
    next_sequence: u64,
    latest: Duration,
    records: BTreeMap<u64, TicketRecord>,
    per_caller: HashMap<CallerTag, usize>,
    answers: AnswerStore,
}

impl TicketLedger {
    /// Makes the ledger of one start of a node.
    pub fn new(owner: TicketOwner, settings: LedgerSettings) -> Self {
        Self {
            owner,
            settings,
            seal: None,
            next_sequence: 0,
            latest: Duration::ZERO,
            records: BTreeMap::new(),
            per_caller: HashMap::new(),
            answers: AnswerStore::default(),
        }
    }

    /// Gives out a ticket; it takes no memory until it is used.
    pub fn mint(&mut self, now: Duration, caller: &str, rng: &mut impl Rng) -> OnceTicket {
        let now = self.advance(now);
        let seal = self.seal.get_or_insert_with(|| TicketSeal::random(rng));
        let mut ticket = OnceTicket {
            owner: self.owner.clone(),
            sequence: self.next_sequence,
            minted_ms: now.as_millis() as u64,
            caller: CallerTag::of(caller),
            tag: 0,
        };
        ticket.tag = seal.tag(&ticket);
        self.next_sequence += 1;
        ticket
    }

    /// Says what to do with a copy of the request with this fingerprint.
    pub fn admit(&mut self, now: Duration, ticket: &OnceTicket, fingerprint: u64) -> LedgerVerdict {
        let now = self.advance(now);
        if let Some(code) = self.stranger(ticket) {
            return LedgerVerdict::Refuse(code);
        }
        let sequence = ticket.sequence;
        match self.records.get(&sequence) {
            Some(record) if record.fingerprint != fingerprint => {
                LedgerVerdict::Refuse(ResultCode::TicketReused)
            }
            Some(_) => self.resume(now, sequence),
            None => self.first_use(now, ticket, fingerprint),
        }
    }

    /// Notes that an attempt is proved not to have run, for another attempt.
    ///
    /// The ticket may be admitted again, so the caller must not be told "not
    /// run"; for that there is [`TicketLedger::retire`].
    pub fn not_run(&mut self, run: RunKey) {
        self.give_back(run, RecordState::NotRun);
    }

    /// Notes that an attempt is proved not to have run, and ends the ticket.
    ///
    /// Guards against a second copy that is held up in a frozen node: the
    /// caller was told "not run" and ordered anew, then the copy arrives and
    /// would run as well. Reports whether the caller may be told "not run".
    pub fn retire(&mut self, run: RunKey) -> bool {
        self.give_back(run, RecordState::Retired)
    }

    fn give_back(&mut self, run: RunKey, state: RecordState) -> bool {
        let record = self.attempt_of(run);
        let running = record.filter(|record| record.state == RecordState::Running);
        running.map(|record| record.state = state).is_some()
    }

    /// Notes a whole answer.
    ///
    /// An answer that comes after [`TicketLedger::broke`] counts: it shows that
    /// the attempt ran.
    pub fn finished(&mut self, run: RunKey, answer: StoredAnswer) {
        if let Some(record) = self.attempt_of(run)
            && record.state != RecordState::Ran
        {
            record.state = RecordState::Ran;
            self.answers.put(run.sequence, answer, &self.settings);
        }
    }

    /// Notes a whole answer that was too long to be kept.
    pub fn finished_unkept(&mut self, run: RunKey) {
        if let Some(record) = self.attempt_of(run) {
            record.state = RecordState::Ran;
        }
    }

    /// Notes that an attempt broke off after it was handed over.
    ///
    /// It may have run, so it never runs again.
    pub fn broke(&mut self, run: RunKey) {
        if let Some(record) = self.attempt_of(run)
            && record.state != RecordState::Ran
        {
            record.state = RecordState::Broke;
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Reports whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes of the answers kept.
    pub const fn answer_bytes(&self) -> usize {
        self.answers.bytes()
    }

    /// Moves the ledger's clock, never back, and forgets what is over.
    fn advance(&mut self, now: Duration) -> Duration {
        self.latest = self.latest.max(now);
        let lifetime = self.settings.use_within + self.settings.keep;
        while let Some(oldest) = self.records.first_entry() {
            let minted = Duration::from_millis(oldest.get().minted_ms);
            if self.latest <= minted + lifetime {
                break;
            }
            let (sequence, record) = oldest.remove_entry();
            self.forget(sequence, record);
        }
        self.latest
    }

    fn forget(&mut self, sequence: u64, record: TicketRecord) {
        self.answers.drop_answer(sequence);
        if let Some(count) = self.per_caller.get_mut(&record.caller) {
            *count -= 1;
            if *count == 0 {
                self.per_caller.remove(&record.caller);
            }
        }
    }

    /// Returns why a ticket isn't of this ledger's minting.
    fn stranger(&self, ticket: &OnceTicket) -> Option<ResultCode> {
        if ticket.owner.instance != self.owner.instance {
            // The sender's row was stale and another instance has the address
            // now; nothing is known here about the ticket.
            return Some(ResultCode::NodeUnreachable);
        }
        if ticket.owner.started != self.owner.started {
            return Some(ResultCode::TicketOwnerGone);
        }
        let sealed = self
            .seal
            .as_ref()
            .is_some_and(|seal| seal.tag(ticket) == ticket.tag);
        (!sealed).then_some(ResultCode::BadTicket)
    }

    fn resume(&mut self, now: Duration, sequence: u64) -> LedgerVerdict {
        let Some(record) = self.records.get_mut(&sequence) else {
            return LedgerVerdict::Refuse(ResultCode::TicketExpired);
        };
        match record.state {
            RecordState::NotRun if too_old(now, record.minted_ms, &self.settings) => {
                LedgerVerdict::Refuse(ResultCode::TicketExpired)
            }
            RecordState::NotRun => LedgerVerdict::Run(record.begin(sequence)),
            RecordState::Retired => LedgerVerdict::Retired,
            RecordState::Running => LedgerVerdict::Running,
            RecordState::Broke => LedgerVerdict::MaybeRan,
            RecordState::Ran => match self.answers.get(sequence) {
                Some(answer) => LedgerVerdict::Replay(answer),
                None => LedgerVerdict::RanAnswerDropped,
            },
        }
    }

    fn first_use(&mut self, now: Duration, ticket: &OnceTicket, fingerprint: u64) -> LedgerVerdict {
        // Guards against a second run of a ticket whose record is forgotten. A
        // record outlives this age, and `latest` never goes back, so a ticket
        // without a record was never used.
        if too_old(now, ticket.minted_ms, &self.settings) {
            return LedgerVerdict::Refuse(ResultCode::TicketExpired);
        }
        if let Some(code) = self.full_for(ticket.caller) {
            return LedgerVerdict::Refuse(code);
        }
        let mut record = TicketRecord {
            fingerprint,
            caller: ticket.caller,
            state: RecordState::NotRun,
            attempt: 0,
            minted_ms: ticket.minted_ms,
        };
        let run = record.begin(ticket.sequence);
        self.records.insert(ticket.sequence, record);
        *self.per_caller.entry(ticket.caller).or_default() += 1;
        LedgerVerdict::Run(run)
    }

    /// Returns why there is no record left for a caller.
    ///
    /// Guards against a record forgotten early, which shows as a second run.
    fn full_for(&self, caller: CallerTag) -> Option<ResultCode> {
        let taken = self.records.len();
        let held = self.per_caller.get(&caller).copied().unwrap_or(0);
        let share = self.settings.records_max / self.settings.caller_divisor.max(1);
        if taken >= self.settings.records_max {
            Some(ResultCode::QueueFull)
        } else if 2 * taken >= self.settings.records_max && held >= share {
            Some(ResultCode::CallerOverShare)
        } else {
            None
        }
    }

    fn attempt_of(&mut self, run: RunKey) -> Option<&mut TicketRecord> {
        let record = self.records.get_mut(&run.sequence);
        record.filter(|record| record.attempt == run.attempt)
    }
}

fn too_old(now: Duration, minted_ms: u64, settings: &LedgerSettings) -> bool {
    now > Duration::from_millis(minted_ms) + settings.use_within
}
