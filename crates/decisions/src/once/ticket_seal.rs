//! Keyed tags that let an owner recognise its own tickets.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::{Rng, RngExt};

use super::once_ticket::OnceTicket;

/// Secret of one start of a node, never sent anywhere.
///
/// The tag takes the place of a random number kept per ticket. It guards
/// against a ticket that this ledger never minted: a mistyped one, or one of
/// an earlier start whose wall clock gave the same start number. Both show as
/// a sequence number that means another request here. `DefaultHasher` is a
/// keyed hash in the standard library's use of it, and here the key goes in
/// first; tags are compared only within the process that made them.
#[derive(Debug)]
pub(super) struct TicketSeal([u64; 2]);

impl TicketSeal {
    pub(super) fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }

    /// Returns the tag that belongs on `ticket`.
    pub(super) fn tag(&self, ticket: &OnceTicket) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.0.hash(&mut hasher);
        ticket.owner.hash(&mut hasher);
        ticket.sequence.hash(&mut hasher);
        ticket.minted_ms.hash(&mut hasher);
        ticket.caller.hash(&mut hasher);
        hasher.finish()
    }
}
