//! Serving of single requests.

use std::process;

use serde_json::json;
use tiny_http::Request;

use super::{
    FaultSettings, RequestDirections, RunEnd,
    active_run::ActiveRun,
    backend_state::BackendState,
    call_head::CallHead,
    request_target::RequestTarget,
    run_answer::{answer_given_up, answer_json, answer_run, answer_shed},
    work_wait::{WorkEnd, work_through},
};

/// Exit status of a process that a request crashed.
const CRASH_EXIT: i32 = 86;

/// Answers a request, or parks it while the server is frozen.
pub(super) fn serve(request: Request, state: &BackendState) {
    match RequestTarget::from(request.url()) {
        RequestTarget::Journal => answer_json(request, 200, &state.journal.records()),
        RequestTarget::Faults => serve_faults(request, state),
        RequestTarget::Cancel(request_id) => {
            let cancelled = state.running.cancel(&request_id);
            let status = if cancelled { 200 } else { 404 };
            answer_json(request, status, &json!({ "cancelled": cancelled }));
        }
        _ if state.faults().frozen => state.parked.push(request),
        RequestTarget::Health => serve_health(request, state),
        RequestTarget::Work(directions) => serve_work(request, state, &directions),
    }
}

fn serve_health(request: Request, state: &BackendState) {
    let healthy = state.faults().false_health.unwrap_or(!state.is_draining());
    let health = json!({
        "healthy": healthy,
        "load": state.reported_load(),
        "slots": state.options.slots,
    });
    answer_json(request, if healthy { 200 } else { 503 }, &health);
}

fn serve_faults(mut request: Request, state: &BackendState) {
    if request.method().as_str() == "GET" {
        answer_json(request, 200, &state.faults());
        return;
    }
    match serde_json::from_reader::<_, FaultSettings>(request.as_reader()) {
        Ok(faults) => {
            let thawed = !faults.frozen;
            state.set_faults(faults);
            answer_json(request, 200, &state.faults());
            if thawed {
                state
                    .parked
                    .take_all()
                    .into_iter()
                    .for_each(|parked| serve(parked, state));
            }
        }
        Err(error) => answer_json(request, 400, &json!({ "error": error.to_string() })),
    }
}

fn serve_work(mut request: Request, state: &BackendState, directions: &RequestDirections) {
    let Ok(call) = CallHead::read(&mut request) else {
        return;
    };
    let refused = state.faults().shed_all || state.is_draining() || call.is_overdue();
    let slot = if refused { None } else { state.gate.enter() };
    let Some(slot) = slot else {
        state.journal.shed(&call, &directions.path);
        answer_shed(request, state);
        return;
    };
    let active = ActiveRun::start(state, slot, &call, directions);
    if directions.crash {
        process::exit(CRASH_EXIT);
    }
    let work = state.work_time(directions);
    match work_through(work, &call, directions, active.cancellation()) {
        WorkEnd::GivenUp => {
            active.end(RunEnd::Cancelled);
            drop(active);
            answer_given_up(request, state);
        }
        WorkEnd::Done => {
            let how = if directions.die_mid_body {
                RunEnd::Broke
            } else {
                RunEnd::Ran
            };
            active.end(how);
            answer_run(request, state, &call, directions, active);
        }
    }
}
