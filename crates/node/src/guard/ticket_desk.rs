//! Tickets of the own backend server: given out, admitted, ended.

use std::{collections::HashMap, time::Duration};

use geranium_decisions::once::{
    LedgerSettings, LedgerVerdict, OnceTicket, StoredAnswer, TicketLedger, TicketOwner,
};
use geranium_model::{Outcome, ResultCode};
use rand::{SeedableRng, rngs::SmallRng};

use super::{ReplySink, backend_call::CallEnd, held_job::HeldTicket};
use crate::wire::{AnswerHead, BodyPart, HeaderPair, PeerAnswer, PeerRequest, Refusal};

/// Copies of one ticket that may wait for its first run to end.
const JOINED_MAX: usize = 4;
/// Advice for a ticket that was refused because the backend server was.
const REFUSED_RETRY_MS: u32 = 500;

/// Why a request with a ticket doesn't go on to admission.
#[derive(Debug)]
pub enum TicketStop {
    /// A copy is running; its answer is this one's too.
    Join(u64),
    /// It gets this answer now.
    Answer(PeerAnswer),
}

/// The ledger, and the copies that wait for a running one.
#[derive(Debug)]
pub struct TicketDesk {
    ledger: TicketLedger,
    joined: HashMap<u64, Vec<ReplySink>>,
    rng: SmallRng,
}

impl TicketDesk {
    /// Opens the desk of one start of a node.
    pub fn new(owner: TicketOwner) -> Self {
        Self {
            ledger: TicketLedger::new(owner, LedgerSettings::default()),
            joined: HashMap::new(),
            rng: SmallRng::from_rng(&mut rand::rng()),
        }
    }

    /// Gives out a ticket.
    pub fn mint(&mut self, now: Duration, caller: u64) -> OnceTicket {
        self.ledger
            .mint(now, &format!("{caller:016x}"), &mut self.rng)
    }

    /// Says whether a request may run now; `None` is one without a ticket.
    pub fn check(
        &mut self,
        now: Duration,
        request: &PeerRequest,
    ) -> Result<Option<HeldTicket>, TicketStop> {
        let Some(text) = &request.ticket else {
            return Ok(None);
        };
        let Ok(ticket) = text.parse::<OnceTicket>() else {
            let refusal = Refusal::not_run(ResultCode::BadTicket, 0);
            return Err(TicketStop::Answer(PeerAnswer::Refused(refusal)));
        };
        let sequence = ticket.sequence();
        let verdict = self.ledger.admit(now, &ticket, request.fingerprint);
        let outcome = verdict.outcome();
        let code = match verdict {
            LedgerVerdict::Run(run) => return Ok(Some(HeldTicket { sequence, run })),
            LedgerVerdict::Running => return Err(TicketStop::Join(sequence)),
            LedgerVerdict::Replay(answer) => return Err(TicketStop::Answer(replay(&answer))),
            LedgerVerdict::RanAnswerDropped => ResultCode::AnswerBroken,
            LedgerVerdict::MaybeRan => ResultCode::BackendBroke,
            LedgerVerdict::Retired => ResultCode::TicketExpired,
            LedgerVerdict::Refuse(code) => code,
        };
        let refusal = Refusal {
            code,
            outcome,
            retry_after_ms: 0,
        };
        Err(TicketStop::Answer(PeerAnswer::Refused(refusal)))
    }

    /// Lets a copy of a running ticket wait for the answer of its first run.
    pub fn join(&mut self, sequence: u64, sink: ReplySink) {
        let joined = self.joined.entry(sequence).or_default();
        if joined.len() < JOINED_MAX {
            joined.push(sink);
        } else {
            let refusal = Refusal::maybe_run(ResultCode::TicketRunning);
            sink.reply(PeerAnswer::Refused(refusal));
        }
    }

    /// Ends a ticket whose attempt is proved not to have run.
    ///
    /// The caller hears "not run" and will order anew with another ticket. A
    /// copy of this request that is held up somewhere must not run after that,
    /// so the ticket is dead from here on. Returns what may be said.
    pub fn retire(&mut self, ticket: HeldTicket, refusal: Refusal) -> Refusal {
        let dead = self.ledger.retire(ticket.run);
        let outcome = if dead {
            Outcome::NotRun
        } else {
            Outcome::MaybeRun
        };
        let refusal = Refusal { outcome, ..refusal };
        self.answer_joined(ticket.sequence, &PeerAnswer::Refused(refusal));
        refusal
    }

    /// Notes how an attempt ended, and answers the copies that wait for it.
    pub fn record(&mut self, ticket: HeldTicket, end: CallEnd) {
        let answer = match end {
            CallEnd::Whole { head, body } => {
                self.ledger.finished(ticket.run, store(&head, &body));
                let head = AnswerHead {
                    replayed: true,
                    ..head
                };
                PeerAnswer::Answered {
                    head,
                    part: BodyPart::Last(body),
                }
            }
            CallEnd::NotRun(code) => {
                self.retire(ticket, Refusal::not_run(code, REFUSED_RETRY_MS));
                return;
            }
            // The body went straight to its asker and wasn't kept.
            CallEnd::Unkept => {
                self.ledger.finished_unkept(ticket.run);
                let (code, outcome) = (ResultCode::AnswerBroken, Outcome::Ran);
                PeerAnswer::Refused(Refusal {
                    code,
                    outcome,
                    retry_after_ms: 0,
                })
            }
            CallEnd::TimedOut => self.broke(ticket, ResultCode::DeadlineWhileRunning),
            CallEnd::Broke { .. } => self.broke(ticket, ResultCode::BackendBroke),
        };
        self.answer_joined(ticket.sequence, &answer);
    }

    fn broke(&mut self, ticket: HeldTicket, code: ResultCode) -> PeerAnswer {
        self.ledger.broke(ticket.run);
        PeerAnswer::Refused(Refusal::maybe_run(code))
    }

    fn answer_joined(&mut self, sequence: u64, answer: &PeerAnswer) {
        for sink in self.joined.remove(&sequence).unwrap_or_default() {
            sink.reply(answer.clone());
        }
    }
}

fn store(head: &AnswerHead, body: &[u8]) -> StoredAnswer {
    // A header that isn't text is left out: none that a caller needs is.
    let text = |pair: &HeaderPair| {
        let value = String::from_utf8(pair.value.clone()).ok()?;
        Some((pair.name.clone(), value))
    };
    StoredAnswer {
        status: head.status,
        headers: head.headers.iter().filter_map(text).collect(),
        body: body.to_vec(),
    }
}

fn replay(answer: &StoredAnswer) -> PeerAnswer {
    let pair = |(name, value): &(String, String)| HeaderPair {
        name: name.clone(),
        value: value.clone().into_bytes(),
    };
    let head = AnswerHead {
        status: answer.status,
        headers: answer.headers.iter().map(pair).collect(),
        length: Some(answer.body.len() as u64),
        load: None,
        replayed: true,
    };
    PeerAnswer::Answered {
        head,
        part: BodyPart::Last(answer.body.clone()),
    }
}
