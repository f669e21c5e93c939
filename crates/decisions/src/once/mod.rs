//! At most one run for requests that must not repeat.
//!
//! **Load pattern.** A till sends an order, the answer is lost, and the till,
//! its node or a person sends it again, perhaps through another node, while
//! the first copy still runs. Nodes and backend servers die and freeze at any
//! point in between, and the platform may be away for hours.
//!
//! **Without it.** A hotel kitchen is invoiced twice, a storm alert looks like
//! a second storm.
//!
//! **How.** A caller first takes an [`OnceTicket`], which names one node's one
//! start. Every copy of the request goes to that node only
//! ([`TicketRouting`]), whose [`TicketLedger`] lets one run, holds back the
//! others, and replays the answer. When that start of the node is over, the
//! ticket is over too: nobody may run it again, and the caller is told that it
//! may have run. No agreement, lease, or clock is shared between machines.
//!
//! **Memory.** A ticket that isn't used costs the owner nothing: it carries
//! its minting time and a keyed tag, and can be checked without a record. So
//! nobody's minting can push out another's ticket. A record is kept from the
//! first use until the ticket could no longer be used; when records run out, a
//! first use is refused as not run, and none is ever forgotten early.
//!
//! **Grounds for figures** stand in [`LedgerSettings`].

mod answer_store;
mod caller_tag;
mod ledger_settings;
mod ledger_verdict;
mod once_ticket;
mod run_key;
mod stored_answer;
mod ticket_error;
mod ticket_ledger;
mod ticket_owner;
mod ticket_record;
mod ticket_routing;
mod ticket_seal;

pub use ledger_settings::LedgerSettings;
pub use ledger_verdict::LedgerVerdict;
pub use once_ticket::OnceTicket;
pub use run_key::RunKey;
pub use stored_answer::StoredAnswer;
pub use ticket_error::TicketError;
pub use ticket_ledger::TicketLedger;
pub use ticket_owner::TicketOwner;
pub use ticket_routing::{RoutingDecision, TicketHistory, TicketRouting};
