//! Orders that run at most once.

use std::{thread, time::Duration};

use geranium_model::ResultCode;

use crate::{AnswerVerdict, TryRecord, call_sender::CallTry, load_worker::LoadWorker};

/// A person waits about this long before pressing the button again.
const RESEND_PAUSE: Duration = Duration::from_millis(100);

/// Sends an order with a ticket, and again while its fate is unknown.
///
/// Each resend goes through another node with the same ticket. Returns the
/// tries, none when no node gave a ticket.
pub(crate) fn send_order(
    worker: &LoadWorker<'_>,
    first: &CallTry<'_>,
    target: usize,
) -> Vec<TryRecord> {
    let Some(ticket) = worker.ticket(first, target) else {
        return Vec::new();
    };
    let mut records: Vec<TryRecord> = Vec::new();
    for number in 0..worker.plan().tries {
        let call = CallTry {
            request_id: format!("{}-{number}", first.request_id),
            ticket: Some(&ticket),
            ..first.clone()
        };
        let record = worker.send(target + number as usize, &call);
        let again = wants_resend(&record);
        let heard_nobody = record.verdict == AnswerVerdict::Unreachable;
        records.push(record);
        if !again {
            break;
        }
        if !heard_nobody {
            thread::sleep(RESEND_PAUSE);
        }
    }
    records
}

/// Reports whether the order's fate may still be learnt by sending it again.
fn wants_resend(record: &TryRecord) -> bool {
    let code = |code: ResultCode| record.code == Some(code.number());
    let lost_for_good = code(ResultCode::TicketOwnerGone) || code(ResultCode::TicketExpired);
    let running = code(ResultCode::TicketRunning);
    let unknown = record.verdict.invites_resend() && !lost_for_good;
    unknown || (running && record.verdict == AnswerVerdict::Refused)
}
