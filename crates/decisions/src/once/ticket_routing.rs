//! Where a copy of a ticketed request may go.

use geranium_model::{MemberRow, MemberState, Outcome, ResultCode, ServiceName};

use super::once_ticket::OnceTicket;

/// What the sending node knows of a ticket's past.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TicketHistory {
    /// This node took the ticket for this very request, gave it to nobody, and
    /// has sent no byte of the request anywhere.
    FreshHere,
    /// A caller brought it, so that another node may have sent a copy, or this
    /// node has sent a byte.
    Unknown,
}

/// What a sending node does with a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingDecision {
    /// Send it to the owner's node, and nowhere else.
    Send,
    /// Tell the caller, for good.
    Final {
        /// Code for the caller.
        code: ResultCode,
        /// What is known about the request as a whole.
        outcome: Outcome,
    },
    /// The owner can't be reached now; the same ticket may be sent again.
    AskAgain {
        /// Code for the caller.
        code: ResultCode,
        /// What is known about the request as a whole.
        outcome: Outcome,
    },
}

/// The sender's side of a ticket.
///
/// A sender keeps nothing. It can't know whether a copy went through another
/// node before, so it says "not run" only about a ticket that it took itself
/// for this very request.
///
/// # Examples
///
/// ```
/// use geranium_decisions::once::{OnceTicket, RoutingDecision, TicketHistory, TicketRouting};
/// use geranium_model::{Outcome, ResultCode};
///
/// let ticket: OnceTicket = "1:till-1:18c:2a:1f40:9d2c:00c0ffee00c0ffee".parse()?;
/// let service = "pantanir".parse()?;
/// let decision = TicketRouting.decide(&ticket, &service, None, TicketHistory::Unknown);
/// let code = ResultCode::NodeUnreachable;
/// let outcome = Outcome::MaybeRun;
/// assert_eq!(decision, RoutingDecision::AskAgain { code, outcome });
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct TicketRouting;

impl TicketRouting {
    /// Decides by the row known of the owner's instance, if any.
    ///
    /// The owner checks again: a decision by a stale row is harmless.
    pub fn decide(
        self,
        ticket: &OnceTicket,
        service: &ServiceName,
        row: Option<&MemberRow>,
        history: TicketHistory,
    ) -> RoutingDecision {
        let Some(row) = row.filter(|row| row.instance == ticket.owner().instance) else {
            return self.unreachable(history);
        };
        let started = ticket.owner().started;
        if row.started > started || (row.started == started && row.state == MemberState::Gone) {
            return self.owner_gone(history);
        }
        let other = row.service.as_ref().is_some_and(|known| known != service);
        if row.started == started && other {
            return RoutingDecision::Final {
                code: ResultCode::BadTicket,
                outcome: unsent(history),
            };
        }
        RoutingDecision::Send
    }

    /// Decides after the owner's node could not be reached in this try.
    pub fn unreachable(self, history: TicketHistory) -> RoutingDecision {
        RoutingDecision::AskAgain {
            code: ResultCode::NodeUnreachable,
            outcome: unsent(history),
        }
    }

    /// Decides when the owner's start is known to be over.
    pub fn owner_gone(self, history: TicketHistory) -> RoutingDecision {
        RoutingDecision::Final {
            code: ResultCode::TicketOwnerGone,
            outcome: unsent(history),
        }
    }
}

/// Returns the outcome when this try sent no byte.
const fn unsent(history: TicketHistory) -> Outcome {
    match history {
        TicketHistory::FreshHere => Outcome::NotRun,
        TicketHistory::Unknown => Outcome::MaybeRun,
    }
}
