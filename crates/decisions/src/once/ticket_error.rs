//! What can be wrong with a ticket's text.

use std::{error::Error, fmt};

use geranium_model::ResultCode;

/// A header value that isn't a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketError;

impl TicketError {
    /// Returns the numbered code that callers are shown.
    pub const fn code(self) -> ResultCode {
        ResultCode::BadTicket
    }
}

impl fmt::Display for TicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the ticket isn't one that a node gave out")
    }
}

impl Error for TicketError {}
