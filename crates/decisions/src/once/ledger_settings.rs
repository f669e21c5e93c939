//! Bounds of a ticket ledger.

use std::time::Duration;

/// Lifetimes and memory of a [`TicketLedger`](super::TicketLedger).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerSettings {
    /// Age up to which a ticket may be used for the first time.
    pub use_within: Duration,
    /// Time beyond that for which the record and answer are kept.
    pub keep: Duration,
    /// Most records.
    pub records_max: usize,
    /// Share of the records that one caller's tickets may hold: one in this
    /// many, once half of all are taken.
    pub caller_divisor: usize,
    /// Most bytes of all answers.
    pub answer_bytes_max: usize,
    /// Most bytes of one answer.
    pub one_answer_bytes_max: usize,
}

impl Default for LedgerSettings {
    /// Ten minutes each: automatic resends end by then, and a person at a till
    /// has asked a colleague. 65,536 records: a node's share of the fleet's
    /// calls is 56 a second, and if all of them used tickets, twenty minutes
    /// would hold 67,200. Answers of orders and alerts are small: 16 MB hold
    /// 250 bytes for each record, and one over 256 KB is a file, which no
    /// ticket is needed for. `docs/decisions/once.md` has the memory measured.
    fn default() -> Self {
        Self {
            use_within: Duration::from_secs(600),
            keep: Duration::from_secs(600),
            records_max: 65_536,
            caller_divisor: 4,
            answer_bytes_max: 16 << 20,
            one_answer_bytes_max: 256 << 10,
        }
    }
}
