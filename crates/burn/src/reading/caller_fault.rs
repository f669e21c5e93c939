//! Answers that say nothing about the service.

use geranium_model::ResultCode;

/// A code that is the caller's own fault.
#[derive(Debug, Clone, Copy)]
pub struct CallerFault {
    /// The code.
    pub code: ResultCode,
    /// Why no service could have answered better.
    pub reason: &'static str,
}

/// Codes that count neither as good nor as bad.
///
/// Refusals under load (`caller-over-share`, `deadline-unreachable`), poisoned
/// requests and expired tickets are absent on purpose: a person went without
/// an answer that a larger or sounder service would have given.
pub const CALLER_FAULTS: [CallerFault; 9] = [
    CallerFault {
        code: ResultCode::BadRequest,
        reason: "the request isn't well-formed",
    },
    CallerFault {
        code: ResultCode::HeadTooLarge,
        reason: "the head is over a documented limit",
    },
    CallerFault {
        code: ResultCode::BodyTooLarge,
        reason: "the body is over a documented limit",
    },
    CallerFault {
        code: ResultCode::NoRoute,
        reason: "the path belongs to no service",
    },
    CallerFault {
        code: ResultCode::RequestTimeout,
        reason: "the caller sent its request too slowly",
    },
    CallerFault {
        code: ResultCode::TicketRequired,
        reason: "the caller took no ticket first",
    },
    CallerFault {
        code: ResultCode::BadTicket,
        reason: "the ticket is malformed or another service's",
    },
    CallerFault {
        code: ResultCode::TicketReused,
        reason: "the caller used one ticket for two requests",
    },
    CallerFault {
        code: ResultCode::TicketRunning,
        reason: "the caller's first try is still running and counts itself",
    },
];

/// Reports whether a code is the caller's own fault.
///
/// # Examples
///
/// ```
/// use geranium_burn::is_caller_fault;
/// use geranium_model::ResultCode;
///
/// assert!(is_caller_fault(ResultCode::NoRoute));
/// assert!(!is_caller_fault(ResultCode::QueueFull));
/// ```
pub fn is_caller_fault(code: ResultCode) -> bool {
    CALLER_FAULTS.iter().any(|fault| fault.code == code)
}
