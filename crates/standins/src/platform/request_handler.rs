//! Handling of one request.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tiny_http::{Method, Request};

use super::{
    CallKind, DownMode,
    reply::Reply,
    shared_state::{Guarded, SharedState},
    watch_feed,
    wire::{
        LeaseRequest, RangeRequest, RequestOp, TxnRequest, WatchRequest, header, range_response,
    },
};

const NOT_FOUND: Reply = Reply::Failed {
    status: 404,
    message: "not found",
};
const LEASE_NOT_FOUND: Reply = Reply::Failed {
    status: 404,
    message: "etcdserver: requested lease not found",
};
const MALFORMED: Reply = Reply::Failed {
    status: 400,
    message: "malformed request",
};
const UNAVAILABLE: Reply = Reply::Failed {
    status: 503,
    message: "the stand-in is down",
};
const TOO_MANY: Reply = Reply::Failed {
    status: 429,
    message: "too many requests",
};

/// Handles `request`; delays and watches get a thread of their own.
pub fn handle(shared: &Arc<SharedState>, request: Request) {
    let path = request.url().to_owned();
    if path.starts_with("/standin/") {
        return handle_control(shared, request, &path);
    }
    let Some(kind) = kind_of(&path) else {
        return NOT_FOUND.send(request);
    };
    let admitted = shared.admit(kind);
    let plan = shared.lock().plan;
    if let Some(mode) = plan.down {
        let reply = match mode {
            DownMode::Unavailable => UNAVAILABLE,
            DownMode::Drop => Reply::Dropped,
        };
        return reply.send(request);
    }
    if !admitted {
        return TOO_MANY.send(request);
    }
    if plan.slow_ms == 0 && kind != CallKind::Watch {
        return handle_call(shared, request, kind, &path);
    }
    let shared = Arc::clone(shared);
    thread::spawn(move || {
        thread::sleep(Duration::from_millis(plan.slow_ms));
        handle_call(&shared, request, kind, &path);
    });
}

fn kind_of(path: &str) -> Option<CallKind> {
    match path {
        "/v3/kv/range" => Some(CallKind::Read),
        "/v3/watch" => Some(CallKind::Watch),
        "/v3/kv/txn"
        | "/v3/lease/grant"
        | "/v3/lease/keepalive"
        | "/v3/lease/revoke"
        | "/v3/kv/lease/revoke" => Some(CallKind::Write),
        _ => None,
    }
}

fn handle_control(shared: &SharedState, mut request: Request, path: &str) {
    let reply = match (request.method(), path) {
        (Method::Get, "/standin/counts") => Reply::json(&shared.report()),
        (Method::Get, "/standin/faults") => Reply::json(&shared.lock().plan),
        (Method::Post, "/standin/faults") => match body(&mut request) {
            Some(faults) => {
                shared.set_faults(&faults);
                Reply::json(&faults.plan)
            }
            None => MALFORMED,
        },
        _ => NOT_FOUND,
    };
    reply.send(request);
}

fn body<T: DeserializeOwned>(request: &mut Request) -> Option<T> {
    serde_json::from_reader(request.as_reader()).ok()
}

fn handle_call(shared: &Arc<SharedState>, mut request: Request, kind: CallKind, path: &str) {
    if kind == CallKind::Watch {
        let Some(watch) = body::<WatchRequest>(&mut request) else {
            return MALFORMED.send(request);
        };
        return watch_feed::serve(shared, &watch.create_request, request.into_writer());
    }
    let reply = match path {
        "/v3/kv/range" => with_body(shared, &mut request, range),
        "/v3/kv/txn" => with_body(shared, &mut request, txn),
        "/v3/lease/grant" => with_body(shared, &mut request, grant),
        "/v3/lease/keepalive" => with_body(shared, &mut request, keep),
        _ => with_body(shared, &mut request, revoke),
    };
    shared.changed.notify_all();
    reply.send(request);
}

/// Answers under one lock; the answer is lost if the plan says so and the call
/// changed something.
fn with_body<T: DeserializeOwned>(
    shared: &SharedState,
    request: &mut Request,
    answer: impl FnOnce(&mut Guarded, Instant, &T) -> Reply,
) -> Reply {
    let Some(message) = body(request) else {
        return MALFORMED;
    };
    let mut guarded = shared.lock();
    let before = guarded.store.changes;
    let reply = answer(&mut guarded, Instant::now(), &message);
    let took_effect = guarded.store.changes != before;
    if took_effect && guarded.take_lost_answer() {
        return Reply::Dropped;
    }
    reply
}

fn range(guarded: &mut Guarded, now: Instant, message: &RangeRequest) -> Reply {
    let age = Duration::from_millis(guarded.plan.stale_reads_ms);
    let cutoff = now.checked_sub(age).filter(|_| !age.is_zero());
    let found = guarded
        .store
        .range(&message.key, &message.range_end, cutoff);
    Reply::Json(range_response(guarded.store.revision, &found))
}

fn txn(guarded: &mut Guarded, now: Instant, message: &TxnRequest) -> Reply {
    let store = &mut guarded.store;
    let holds = |compare: &super::wire::Compare| compare.holds_for(store.live(&compare.key));
    let succeeded = message.compare.iter().all(holds);
    let operations = if succeeded {
        &message.success
    } else {
        &message.failure
    };
    let lacks_lease = |operation: &RequestOp| matches!(operation, RequestOp::Put(put) if put.lease != 0 && !store.has_lease(put.lease));
    if operations.iter().any(lacks_lease) {
        return LEASE_NOT_FOUND;
    }
    let responses = operations
        .iter()
        .map(|operation| apply(guarded, now, operation));
    let responses: Vec<_> = responses.collect();
    let mut response = json!({ "header": header(guarded.store.revision), "responses": responses });
    if succeeded {
        response["succeeded"] = true.into();
    }
    Reply::Json(response)
}

fn apply(guarded: &mut Guarded, now: Instant, operation: &RequestOp) -> Value {
    let store = &mut guarded.store;
    match operation {
        RequestOp::Put(put) => {
            store.put(now, put.key.clone(), put.value.clone(), put.lease);
            json!({ "response_put": { "header": header(store.revision) } })
        }
        RequestOp::Range(range) => {
            let found = store.range(&range.key, &range.range_end, None);
            json!({ "response_range": range_response(store.revision, &found) })
        }
        RequestOp::DeleteRange(range) => {
            let deleted = u8::from(store.delete(now, &range.key));
            json!({ "response_delete_range": { "deleted": deleted.to_string() } })
        }
    }
}

fn grant(guarded: &mut Guarded, now: Instant, message: &LeaseRequest) -> Reply {
    let ttl = Duration::from_secs(message.ttl.max(1).cast_unsigned());
    let id = guarded.store.grant(now, ttl).to_string();
    let header = header(guarded.store.revision);
    Reply::Json(json!({ "header": header, "ID": id, "TTL": ttl.as_secs().to_string() }))
}

fn keep(guarded: &mut Guarded, now: Instant, message: &LeaseRequest) -> Reply {
    let mut result = json!({
        "header": header(guarded.store.revision),
        "ID": message.id.to_string(),
    });
    if let Some(ttl) = guarded.store.keep(now, message.id) {
        result["TTL"] = ttl.as_secs().to_string().into();
    }
    Reply::Json(json!({ "result": result }))
}

fn revoke(guarded: &mut Guarded, now: Instant, message: &LeaseRequest) -> Reply {
    if guarded.store.end_lease(now, message.id) {
        Reply::Json(json!({ "header": header(guarded.store.revision) }))
    } else {
        LEASE_NOT_FOUND
    }
}
